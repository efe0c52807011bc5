/**
The command line as a function of its words and its surroundings.
*/
import type * as stream from 'node:stream';
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import packageFile from '../package.json' with {type: 'json'};
import * as checking from './arguments.ts';
import type * as shared from './commands/command.ts';
import * as failures from './failures.ts';
import * as settings from './settings.ts';

/**
What the command line reads and writes.
*/
export type CliSurroundings = {
	readonly environment: settings.Environment;
	readonly stdin: stream.Readable;
	readonly stdout: stream.Writable;
	readonly stderr: stream.Writable;
};

/**
The commands that may be named.
*/
export type Commands = ReadonlyArray<clipanion.CommandClass<shared.Surroundings>>;

const BINARY_NAME = 'wagtailroute';

/**
Runs the one of the commands that the words name and returns its exit code.
*/
export async function runCommand(commands: Commands, words: readonly string[], surroundings: CliSurroundings): Promise<number> {
	const cli = createCli(commands);
	const context: shared.Surroundings = {
		...clipanion.Cli.defaultContext,
		...surroundings,
		env: {...surroundings.environment},
		colorDepth: 1,
	};
	const command = settings.checkEnvironment(surroundings.environment)
		.andThen(() => checking.checkArguments(words, getDefinitions(cli)))
		.andThen(() => parseCommand(cli, words, context));
	if (command.isErr()) {
		surroundings.stderr.write(`${BINARY_NAME}: ${failures.toLine(command.error.message)}\n`);
		return failures.getExitCode(command.error);
	}

	return cli.run(command.value, context);
}

function createCli(commands: Commands): clipanion.Cli<shared.Surroundings> {
	const cli = new clipanion.Cli<shared.Surroundings>({
		binaryName: BINARY_NAME,
		binaryLabel: 'wagtailroute, a proxy fleet for backend servers',
		binaryVersion: packageFile.version,
		enableColors: false,
	});
	for (const command of [...commands, clipanion.Builtins.HelpCommand, clipanion.Builtins.VersionCommand]) {
		cli.register(command);
	}

	return cli;
}

function getDefinitions(cli: clipanion.Cli<shared.Surroundings>): readonly checking.CommandDefinition[] {
	return cli.definitions().map(({path, usage, options}) => ({
		path: path.split(' ').slice(1),
		usage,
		flags: options.map(({definition}) => definition.split(' ', 1)[0]!),
	}));
}

function parseCommand(
	cli: clipanion.Cli<shared.Surroundings>,
	words: readonly string[],
	context: shared.Surroundings,
): results.Result<clipanion.Command<shared.Surroundings>, failures.CommandFailure> {
	try {
		return results.Ok(cli.process([...words], context));
	} catch (error) {
		const definition = checking.findDefinition(words, getDefinitions(cli));
		const accepted = definition?.usage ?? `${BINARY_NAME} --help`;
		const [reason] = (error as Error).message.split('\n', 1);
		const message = `arguments: ${reason} accepted: ${accepted}`;
		return results.Err(core.createFailure('bad-setting', failures.toLine(message)));
	}
}
