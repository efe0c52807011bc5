/**
Parses arguments and runs the command that they name, without access to the process itself.
*/
import type * as stream from 'node:stream';
import * as clipanion from 'clipanion';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import packageFile from '../package.json' with {type: 'json'};
import * as commandArguments from './arguments.ts';
import type * as base from './commands/command.ts';
import * as failures from './failures.ts';
import * as settings from './settings.ts';

/**
The environment variables and streams that the command line uses in place of those of the process.
*/
export type CliContext = {
	readonly environment: settings.Environment;
	readonly stdin: stream.Readable;
	readonly stdout: stream.Writable;
	readonly stderr: stream.Writable;
};

/**
The commands of a program.
*/
export type CommandClasses = ReadonlyArray<clipanion.CommandClass<base.CommandContext>>;

const BINARY_NAME = 'wagtailroute';

/**
Runs the command that the arguments name and returns its exit code. A failure before the command starts is written to stderr.
*/
export async function runCommand(commands: CommandClasses, argv: readonly string[], cliContext: CliContext): Promise<number> {
	const cli = createCli(commands);
	const context: base.CommandContext = {
		...clipanion.Cli.defaultContext,
		...cliContext,
		env: {...cliContext.environment},
		colorDepth: 1,
	};
	const command = settings.checkEnvironment(cliContext.environment)
		.andThen(() => commandArguments.checkArguments(argv, getDefinitions(cli)))
		.andThen(() => parseCommand(cli, argv, context));
	if (command.isErr()) {
		cliContext.stderr.write(`${BINARY_NAME}: ${failures.toSingleLine(command.error.message)}\n`);
		return failures.getExitCode(command.error);
	}

	return cli.run(command.value, context);
}

function createCli(commands: CommandClasses): clipanion.Cli<base.CommandContext> {
	const cli = new clipanion.Cli<base.CommandContext>({
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

function getDefinitions(cli: clipanion.Cli<base.CommandContext>): readonly commandArguments.CommandDefinition[] {
	return cli.definitions().map(({path, usage, options}) => ({
		path: path.split(' ').slice(1),
		usage,
		flags: options.map(({definition}) => definition.split(' ', 1)[0]!),
	}));
}

function parseCommand(
	cli: clipanion.Cli<base.CommandContext>,
	argv: readonly string[],
	context: base.CommandContext,
): results.Result<clipanion.Command<base.CommandContext>, failures.CommandFailure> {
	try {
		return results.Ok(cli.process([...argv], context));
	} catch (error) {
		const definition = commandArguments.findDefinition(argv, getDefinitions(cli));
		const accepted = definition?.usage ?? `${BINARY_NAME} --help`;
		const [reason] = (error as Error).message.split('\n', 1);
		const message = `arguments: ${reason} accepted: ${accepted}`;
		return results.Err(core.createFailure('bad-setting', failures.toSingleLine(message)));
	}
}
