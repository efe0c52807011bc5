/**
Checks the words of the command line against the commands, so that a mistake is told in one line: the word at fault and
what is accepted in its place.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import type * as failures from './failures.ts';
import * as flags from './flags.ts';

/**
A command as it may be written: its path without the program's name, its usage line and its flags.
*/
export type CommandDefinition = {
	readonly path: readonly string[];
	readonly usage: string;
	readonly flags: readonly string[];
};

const HELP_FLAGS: ReadonlySet<string> = new Set(['--help', '-h', '--version', '-v']);

/**
Fails for an unknown command and for an unknown flag. The count of positional arguments is left to the parser.
*/
export function checkArguments(
	words: readonly string[],
	definitions: readonly CommandDefinition[],
): results.Result<void, failures.CommandFailure> {
	if (words.some(word => HELP_FLAGS.has(word))) {
		return results.Ok(undefined);
	}

	const definition = findDefinition(words, definitions);
	if (!definition) {
		return results.Err(core.createFailure('bad-setting', describeUnknownCommand(words, definitions)));
	}

	const last = words.at(-1)!;
	const emptyFlag = flags.findFlag(last);
	if (emptyFlag && !emptyFlag.isSwitch && definition.flags.includes(last)) {
		return results.Err(core.createFailure('bad-setting', `${last}: the value "" is not accepted; accepted: ${emptyFlag.accepted}`));
	}

	const index = words.findIndex(word => word.startsWith('-') && word !== '-' && !definition.flags.includes(getFlagName(word)));
	return index === -1 ? results.Ok(undefined) : results.Err(core.createFailure('bad-setting', describeUnknownFlag(words, index, definition)));
}

/**
Returns the command that the words begin with.
*/
export function findDefinition(
	words: readonly string[],
	definitions: readonly CommandDefinition[],
): CommandDefinition | undefined {
	return definitions.find(({path}) => path.every((part, index) => words[index] === part));
}

function describeUnknownCommand(words: readonly string[], definitions: readonly CommandDefinition[]): string {
	const commands = definitions.map(({path}) => path.join(' ')).toSorted((left, right) => left.localeCompare(right));
	// What follows a flag is its value, which may be a secret.
	const flagIndex = words.findIndex(word => word.startsWith('-'));
	const given = words.slice(0, flagIndex === -1 ? undefined : flagIndex).join(' ');
	return `command: the value ${JSON.stringify(given)} is not accepted; accepted: ${commands.join(', ')}, --help, --version`;
}

function describeUnknownFlag(words: readonly string[], index: number, definition: CommandDefinition): string {
	const word = words[index]!;
	const next = words[index + 1];
	const separator = word.indexOf('=');
	const value = separator === -1 ? next : word.slice(separator + 1);
	const given = value === undefined || (separator === -1 && value.startsWith('-')) ? '' : value;
	// A misspelt name of a secret must not print the secret.
	const shown = flags.isLikeSecret(getFlagName(word)) ? '(hidden)' : JSON.stringify(given);
	return `${getFlagName(word)}: an unknown flag, its value ${shown} is not accepted; accepted: ${definition.flags.join(', ')}`;
}

function getFlagName(word: string): string {
	return word.split('=', 1)[0]!;
}
