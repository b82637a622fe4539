package sess

// secureCommands are the commands for certificates.
var secureCommands = map[string]scriptFunc{
	// secure: gives programs that are started from now on certificates of a new
	// authority. insecure: starts programs without certificates.
	"secure": command("secure", func(s *session, _ []string) (string, error) { return "", s.EnableTLS() }),
	"insecure": command("insecure", func(s *session, _ []string) (string, error) {
		s.DisableTLS()
		return "", nil
	}),
}
