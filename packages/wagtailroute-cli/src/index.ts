/**
The command line: flags and environment variables to settings, and the commands of operators.
*/
export {runCli} from './cli.ts';
export {type CliSurroundings} from './command-line.ts';
export {
	type Environment,
	HOST_SETTINGS,
	type HostSettings,
	readSettings,
} from './settings.ts';
