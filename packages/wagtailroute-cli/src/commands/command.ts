/**
Base class of all commands, and declarations of their flags.
*/
import type * as stream from 'node:stream';
import * as clipanion from 'clipanion';
import type * as results from 'ts-results-es';
import type * as zod from 'zod';
import * as failures from '../failures.ts';
import * as flags from '../flags.ts';
import * as settings from '../settings.ts';

/**
The context that clipanion passes to a command.
*/
export type CommandContext = clipanion.BaseContext & {
	readonly environment: settings.Environment;
	readonly stdout: stream.Writable;
	readonly stderr: stream.Writable;
};

/**
The text to print on stdout, which may be empty, or a failure.
*/
export type CommandResult = results.Result<string, failures.CommandFailure>;

/**
A command that returns a text or a failure. A failure is written to stderr in one line and sets the exit code.
*/
export abstract class BaseCommand extends clipanion.Command<CommandContext> {
	abstract run(): Promise<CommandResult>;

	override async execute(): Promise<number> {
		const result = await this.run();
		if (result.isErr()) {
			this.context.stderr.write(`wagtailroute: ${result.error.message}\n`);
			return failures.getExitCode(result.error);
		}

		if (result.value !== '') {
			this.context.stdout.write(`${result.value}\n`);
		}

		return 0;
	}

	/**
	Reads the settings that are keys of the schema from the flags of this command and the environment.
	*/
	protected readSettings<Schema extends zod.ZodObject>(
		schema: Schema,
	): results.Result<zod.output<Schema>, failures.CommandFailure> {
		return settings.readSettings(schema, this as settings.GivenFlags, this.context.environment);
	}
}

/**
Declares a flag with a value. The property of the command must be named by the same key.
*/
export function createFlag(key: flags.FlagKey): string | undefined {
	const flag: flags.Flag = flags.FLAGS[key];
	const description = `${flag.description}: ${flag.accepted}`;
	return clipanion.Option.String(`--${flag.name}`, {description});
}

/**
Declares a flag without a value. The property of the command must be named by the same key.
*/
export function createSwitch(key: flags.FlagKey): boolean | undefined {
	const flag: flags.Flag = flags.FLAGS[key];
	return clipanion.Option.Boolean(`--${flag.name}`, {description: flag.description});
}
