package capacity

import "fmt"

// perRouter is the planned number of requests a second at one router.
const perRouter = float64(PlannedRequests) / PlannedRouters

// decisionRows are the lines of decisions and state that no fleet of this
// machine reaches.
func decisionRows() ([]Row, error) {
	rows, err := configRows()
	if err != nil {
		return nil, err
	}
	more, err := journalRows()
	if err != nil {
		return nil, err
	}
	rows = append(rows, entryRows()...)
	rows = append(rows, ownerRows()...)
	return append(rows, more...), nil
}

func configRows() ([]Row, error) {
	size, seconds, err := configFigures(100, 400, PlannedTargets)
	if err != nil {
		return nil, err
	}
	reading := Fit(seconds).At(PlannedTargets)
	changes := PlannedChanges / day.Seconds()
	return []Row{
		fitted("config", "size of the document", "targets", size, PlannedTargets, UnitBytes, 0,
			"one copy of the documents and one of the effective configuration"),
		fitted("config", "time to read a document", "targets", millis(seconds), PlannedTargets, UnitMillis, 0,
			"read once for each change"),
		{
			Role: "config", Resource: "processor time of changes", Measured: "from the time to read",
			Planned: reading * changes, Limit: LimitCore, Unit: UnitCores,
			Mechanism: fmt.Sprintf("%d changes a day", PlannedChanges),
		},
	}, nil
}

func entryRows() []Row {
	rank := placementTimes(12, 120, PlannedTargets)
	return []Row{
		fitted("entry", "time to rank targets for a chat", "targets", millis(rank), PlannedTargets, UnitMillis, 0,
			"only the targets of the chat's model are ranked"),
		{
			Role: "entry", Resource: "processor time of ranking, were every target a candidate", Measured: "from the time to rank",
			Planned: Fit(rank).At(PlannedTargets) * perRouter, Limit: LimitCore, Unit: UnitCores,
			Mechanism: fmt.Sprintf("%.1f requests a second for each router, %d models", perRouter, PlannedModels),
		},
		fitted("VM", "memory of the view of routers", "routers", memberBytes(90, 390, 1560), PlannedRouters, UnitBytes, LimitBytes,
			"one row for each router of the site"),
	}
}

func ownerRows() []Row {
	chats := Fit(memoryBytes(10_000, 100_000, 400_000))
	merge := digestTimes(30, 300, PlannedTargets)
	admit := admissionTime()
	return []Row{
		fitted("owner", "memory of the digests of targets", "targets", digestBytes(300, PlannedTargets, 4800),
			PlannedTargets, UnitBytes, LimitBytes, "one digest for each target of the site"),
		{
			Role: "owner", Resource: "processor time of merging digests", Measured: "all targets once a second",
			Planned: Fit(merge).At(PlannedTargets), Limit: LimitCore, Unit: UnitCores,
			Mechanism: "a digest is merged once for each neighbour that tells it",
		},
		{
			Role: "owner", Resource: "processor time of admission", Measured: fmt.Sprintf("%.2g ms a request", admit*1000),
			Planned: admit * perRouter, Limit: LimitCore, Unit: UnitCores,
			Mechanism: fmt.Sprintf("%.1f requests a second for each router", perRouter),
		},
		{
			Role: "owner", Resource: "memory of moved chats, were every chat moved", Limit: LimitBytes, Unit: UnitBytes,
			Measured: fmt.Sprintf("%.0f bytes a chat", chats.Slope),
			Planned:  chats.Slope * PlannedChats / PlannedRouters,
			Mechanism: fmt.Sprintf("the first target's owner remembers a chat that it sent elsewhere; %.0f of %d chats for each router",
				float64(PlannedChats)/PlannedRouters, PlannedChats),
		},
	}
}

// journalRows are the lines of recorded orders. The window of a day holds all
// orders of a day.
func journalRows() ([]Row, error) {
	points, err := orderBytes(10_000, 50_000, 200_000)
	if err != nil {
		return nil, err
	}
	perOrder := Fit(points).Slope
	daily := PlannedRequests * orderShare * day.Seconds()
	row := func(partitions float64, mechanism string) Row {
		return Row{
			Role: "journal", Resource: fmt.Sprintf("memory of a day's orders, one of %.0f partitions", partitions),
			Measured: fmt.Sprintf("%.0f bytes an order", perOrder),
			Planned:  perOrder * daily / partitions, Limit: LimitBytes, Unit: UnitBytes,
			Mechanism: mechanism,
		}
	}
	return []Row{
		row(todaysPartitions, "the default of today's sites"),
		row(PlannedRouters, "as many partitions as routers"),
	}, nil
}

// todaysPartitions is the default number of order partitions.
const todaysPartitions = 8

func millis(points []Point) []Point {
	out := make([]Point, 0, len(points))
	for _, p := range points {
		out = append(out, Point{Size: p.Size, Value: p.Value * 1000})
	}
	return out
}
