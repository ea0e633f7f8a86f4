package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
)

// Checker is a value of settings that knows whether it is valid. It is checked
// where the settings file sets it.
type Checker interface{ Check() error }

// Address is a host and port, such as "10.0.0.7:7001".
type Address string

// maxPort is the highest port.
const maxPort = 1<<16 - 1

// Check checks the address.
func (a Address) Check() error {
	host, port, err := net.SplitHostPort(string(a))
	n, portErr := strconv.Atoi(port)
	if err != nil || portErr != nil || n < 0 || n > maxPort || host == "" {
		return fmt.Errorf("want an address such as \"10.0.0.7:7001\", have %q", a)
	}
	return nil
}

// URL is the base URL of a service, such as "http://10.0.0.5:7010".
type URL string

// Check checks the URL.
func (u URL) Check() error {
	parsed, err := url.Parse(string(u))
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fmt.Errorf("want a URL such as \"http://10.0.0.5:7010\", have %q", u)
	}
	return nil
}

// Path is the path of a file that must exist.
type Path string

// Check checks that the file can be read.
func (p Path) Check() error {
	file, err := os.Open(string(p))
	if err != nil {
		return fmt.Errorf("want the path of a file that can be read: %w", err)
	}
	_ = file.Close()
	return nil
}

// Interface guards.
var (
	_ Checker = Address("")
	_ Checker = URL("")
	_ Checker = Path("")
)
