/**
What all commands share: their surroundings, their flags and the way they end.
*/
import type * as stream from 'node:stream';
import * as clipanion from 'clipanion';
import type * as results from 'ts-results-es';
import type * as zod from 'zod';
import * as failures from '../failures.ts';
import * as flags from '../flags.ts';
import * as settings from '../settings.ts';

/**
What a command works with.
*/
export type Surroundings = clipanion.BaseContext & {
	readonly environment: settings.Environment;
	readonly stdout: stream.Writable;
	readonly stderr: stream.Writable;
};

/**
What a command ends with: the text to print, which may be empty.
*/
export type CommandResult = results.Result<string, failures.CommandFailure>;

/**
A command that ends with a text or a failure.
*/
export abstract class SharedCommand extends clipanion.Command<Surroundings> {
	abstract carryOut(): Promise<CommandResult>;

	override async execute(): Promise<number> {
		const result = await this.carryOut();
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
	Reads the settings that the schema names from this command's flags and the environment.
	*/
	protected readSettings<Schema extends zod.ZodObject>(
		schema: Schema,
	): results.Result<zod.output<Schema>, failures.CommandFailure> {
		return settings.readSettings(schema, this as settings.GivenFlags, this.context.environment);
	}
}

/**
Declares a flag with a value.
*/
export function createFlag(key: flags.FlagKey): string | undefined {
	const flag: flags.Flag = flags.FLAGS[key];
	const description = `${flag.description}: ${flag.accepted}`;
	return clipanion.Option.String(`--${flag.name}`, {description});
}

/**
Declares a flag without a value.
*/
export function createSwitch(key: flags.FlagKey): boolean | undefined {
	const flag: flags.Flag = flags.FLAGS[key];
	return clipanion.Option.Boolean(`--${flag.name}`, {description: flag.description});
}
