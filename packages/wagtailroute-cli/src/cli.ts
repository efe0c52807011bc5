/**
The command line with all commands.
*/
import * as allotments from './commands/allotments.ts';
import * as changes from './commands/changes.ts';
import * as check from './commands/check.ts';
import * as hosts from './commands/hosts.ts';
import * as load from './commands/load.ts';
import * as platformCheck from './commands/platform-check.ts';
import * as platform from './commands/platform.ts';
import * as queries from './commands/queries.ts';
import * as commandLine from './command-line.ts';

const COMMANDS: commandLine.CommandClasses = [
	hosts.DevCommand,
	hosts.RunCommand,
	// Before the command whose path it continues: the first command whose path the arguments begin with is taken.
	platformCheck.PlatformCheckCommand,
	platform.PlatformCommand,
	queries.CatalogueListCommand,
	queries.CatalogueShowCommand,
	check.CatalogueCheckCommand,
	changes.CatalogueApplyCommand,
	changes.CatalogueRemoveCommand,
	queries.CatalogueHistoryCommand,
	queries.FleetStatusCommand,
	queries.UpstreamsListCommand,
	queries.ReportBurnCommand,
	allotments.ReportAllotmentsCommand,
	load.LoadCommand,
];

/**
Runs the command that the arguments name and returns its exit code. `argv` excludes the name of the program.
*/
export async function runCli(argv: readonly string[], context: commandLine.CliContext): Promise<number> {
	return commandLine.runCommand(COMMANDS, argv, context);
}
