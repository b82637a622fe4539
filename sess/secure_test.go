package sess

// secureCommands are the commands about certificates.
var secureCommands = map[string]scriptFunc{
	// secure: programs started from now on have certificates of a new
	// authority. insecure: they have none.
	"secure": command("secure", func(s *session, _ []string) (string, error) { return "", s.EnableTLS() }),
	"insecure": command("insecure", func(s *session, _ []string) (string, error) {
		s.DisableTLS()
		return "", nil
	}),
}
