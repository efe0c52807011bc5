/**
The command line: reads settings from flags and environment variables, and runs the commands of operators.
*/
export {runCli} from './cli.ts';
export {type CliContext} from './command-line.ts';
export {
	type Environment,
	HOST_SETTINGS,
	type HostSettings,
	readSettings,
} from './settings.ts';
