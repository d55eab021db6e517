package start

import (
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"crocusstep/bound"
)

// simulationSeed is fixed so that reports on the same logs agree.
const simulationSeed = 1

func (c *cli) addBound(report *kingpin.CmdClause) {
	command := report.Command("bound", "Estimate an upper bound on what the engines could have served of a logged load.")
	engine := command.Flag("engine", "YAML file with the engines' cost model.").Required().String()
	format := command.Flag("format", "text or html").Default("text").Enum("text", "html")
	logs := command.Arg("log", "Logs of all relays and keepers.").Required().Strings()
	c.add(command, func() error {
		workload, err := readWorkload(*engine, *logs)
		if err != nil {
			return err
		}
		return bound.NewReport(workload, simulationSeed).Write(c.stdout, *format)
	})
}

func (c *cli) addLosses(report *kingpin.CmdClause) {
	command := report.Command("losses", "Show for which causes requests of a logged load were not served in time.")
	engine := command.Flag("engine", "YAML file with the engines' cost model.").Required().String()
	logs := command.Arg("log", "Logs of all relays and keepers.").Required().Strings()
	c.add(command, func() error {
		workload, err := readWorkload(*engine, *logs)
		if err != nil {
			return err
		}
		return bound.NewLosses(workload).Write(c.stdout)
	})
}

func readWorkload(engineFile string, logs []string) (*bound.Workload, error) {
	engine, err := parseFile(engineFile, bound.ParseEngineModel)
	if err != nil {
		return nil, err
	}
	readers := make([]io.Reader, len(logs))
	for i, name := range logs {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		readers[i] = file
	}
	return bound.ReadLogs(engine, readers...)
}
