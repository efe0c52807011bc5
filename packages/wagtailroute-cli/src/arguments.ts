/**
Checks the arguments against the commands before the parser does, because an operator gets each error as one line: the
argument at fault and what is accepted in its place.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import type * as failures from './failures.ts';
import * as flags from './flags.ts';

/**
The syntax of a command: its path without the name of the program, its usage line and its flags, each with its dashes.
*/
export type CommandDefinition = {
	readonly path: readonly string[];
	readonly usage: string;
	readonly flags: readonly string[];
};

const HELP_FLAGS: ReadonlySet<string> = new Set(['--help', '-h', '--version', '-v']);

/**
Fails for an unknown command and for an unknown flag. The parser checks the number of positional arguments.
*/
export function checkArguments(
	argv: readonly string[],
	definitions: readonly CommandDefinition[],
): results.Result<void, failures.CommandFailure> {
	if (argv.some(argument => HELP_FLAGS.has(argument))) {
		return results.Ok(undefined);
	}

	const definition = findDefinition(argv, definitions);
	if (!definition) {
		return results.Err(core.createFailure('bad-setting', describeUnknownCommand(argv, definitions)));
	}

	const lastArgument = argv.at(-1)!;
	const flagWithoutValue = flags.findFlag(lastArgument);
	if (flagWithoutValue && !flagWithoutValue.isSwitch && definition.flags.includes(lastArgument)) {
		return results.Err(core.createFailure('bad-setting', `${lastArgument}: the value "" is not accepted; accepted: ${flagWithoutValue.accepted}`));
	}

	const index = argv.findIndex(argument => argument.startsWith('-') && argument !== '-' && !definition.flags.includes(getFlagName(argument)));
	return index === -1 ? results.Ok(undefined) : results.Err(core.createFailure('bad-setting', describeUnknownFlag(argv, index, definition)));
}

/**
Returns the command whose path the arguments start with.
*/
export function findDefinition(
	argv: readonly string[],
	definitions: readonly CommandDefinition[],
): CommandDefinition | undefined {
	return definitions.find(({path}) => path.every((part, index) => argv[index] === part));
}

function describeUnknownCommand(argv: readonly string[], definitions: readonly CommandDefinition[]): string {
	const commands = definitions.map(({path}) => path.join(' ')).toSorted((left, right) => left.localeCompare(right));
	// The arguments after a flag are left out: they may hold its value, which may be a secret.
	const flagIndex = argv.findIndex(argument => argument.startsWith('-'));
	const givenCommand = argv.slice(0, flagIndex === -1 ? undefined : flagIndex).join(' ');
	return `command: the value ${JSON.stringify(givenCommand)} is not accepted; accepted: ${commands.join(', ')}, --help, --version`;
}

function describeUnknownFlag(argv: readonly string[], index: number, definition: CommandDefinition): string {
	const argument = argv[index]!;
	const next = argv[index + 1];
	const separator = argument.indexOf('=');
	const value = separator === -1 ? next : argument.slice(separator + 1);
	const givenValue = value === undefined || (separator === -1 && value.startsWith('-')) ? '' : value;
	// The flag may be the misspelt name of a secret, whose value must not be printed.
	const shownValue = flags.isPossibleSecretName(getFlagName(argument)) ? '(hidden)' : JSON.stringify(givenValue);
	return `${getFlagName(argument)}: an unknown flag, its value ${shownValue} is not accepted; accepted: ${definition.flags.join(', ')}`;
}

function getFlagName(argument: string): string {
	return argument.split('=', 1)[0]!;
}
