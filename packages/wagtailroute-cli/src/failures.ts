/**
The failures of the command line and the exit code of each.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
- `bad-setting`: a flag, variable, command or argument that isn't accepted.
- `unreachable`: the host gave no answer.
- `refused`: the host answered with an error.
- `bad-answer`: the answer isn't what the interface says.
- `not-in-force`: the change was taken, but some hosts lack it.
- `wrong-truth`: a load run found an answer or an outcome that is wrong.
- `stopped`: the host stopped by itself.
*/
export type CommandFailureKind =
	| 'bad-setting'
	| 'unreachable'
	| 'refused'
	| 'bad-answer'
	| 'not-in-force'
	| 'wrong-truth'
	| 'stopped';

/**
A failure of a command.
*/
export type CommandFailure = core.Failure<CommandFailureKind>;

/**
Returns the exit code that tells a failure to scripts.
*/
export function getExitCode(failure: CommandFailure): number {
	return failure.kind === 'bad-setting' ? constants.EXIT_BAD_SETTING : constants.EXIT_REFUSED;
}

/**
Writes any thrown value as one line.
*/
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return toLine(String(error));
	}

	// An AggregateError of refused connections has a code and no message.
	const {code} = error as NodeJS.ErrnoException;
	return toLine(error.message === '' ? String(code) : error.message);
}

/**
Makes one line of a text.
*/
export function toLine(text: string): string {
	return text.replaceAll(/\s+/gv, ' ').trim();
}
