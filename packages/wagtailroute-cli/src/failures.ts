/**
The failures of the command line and the exit code of each.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';

/**
- `bad-setting`: a flag, variable, command, argument or input file isn't accepted.
- `unreachable`: the host gave no answer.
- `refused`: the host answered with an error.
- `bad-answer`: the answer isn't of the expected shape.
- `not-in-force`: the change was committed, but isn't in force on some hosts yet.
- `bad-file`: a file to check can't be read or parsed.
- `entries-refused`: the fleet would refuse what was checked.
- `entries-doubtful`: a check ended with warnings only.
- `wrong-truth`: a load run found a wrong answer, or an outcome that differs from what the backend servers ran.
- `stopped`: the host failed to start or to stop, for example because its address is in use.
*/
export type CommandFailureKind =
	| 'bad-setting'
	| 'unreachable'
	| 'refused'
	| 'bad-answer'
	| 'not-in-force'
	| 'bad-file'
	| 'entries-refused'
	| 'entries-doubtful'
	| 'wrong-truth'
	| 'stopped';

/**
A failure of a command, with the message that the operator gets.
*/
export type CommandFailure = core.Failure<CommandFailureKind>;

/**
Exit codes other than `EXIT_FAILURE`.
*/
const EXIT_CODES: Readonly<Partial<Record<CommandFailureKind, number>>> = {
	'bad-setting': constants.EXIT_BAD_SETTING,
	'entries-doubtful': constants.EXIT_WARNINGS,
};

/**
Returns the exit code of a failure.
*/
export function getExitCode(failure: CommandFailure): number {
	return EXIT_CODES[failure.kind] ?? constants.EXIT_FAILURE;
}

/**
Describes any thrown value in one line.
*/
export function describeError(error: unknown): string {
	if (!(error instanceof Error)) {
		return toSingleLine(String(error));
	}

	// An AggregateError of refused connections has a code and no message.
	const {code} = error as NodeJS.ErrnoException;
	return toSingleLine(error.message === '' ? String(code) : error.message);
}

/**
Replaces each run of white space, line breaks included, with one space.
*/
export function toSingleLine(text: string): string {
	return text.replaceAll(/\s+/gv, ' ').trim();
}
