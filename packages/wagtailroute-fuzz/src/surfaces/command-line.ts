/**
Words and environment of the command line. Whatever is given, it ends with a documented exit code and one line that says
why, and never prints a secret.
*/
import * as stream from 'node:stream';
import * as cli from 'wagtailroute-cli';
import * as utils from 'wagtailroute-utils';
import {mutateText, pick} from '../mutations.ts';
import type {InputResult, Surface} from '../surface.ts';

const SECRET_TEXT = 'hush-hush';
const EXIT_CODES: ReadonlySet<number> = new Set([0, 1, 2]);

/**
Each with one setting that is never accepted, so that nothing is started.
*/
const COMMANDS: ReadonlyArray<readonly string[]> = [
	[
		'run',
		'--host-id',
		'h',
		'--failure-domain',
		'd',
		'--roles',
		'entry',
		'--peer-address',
		'nowhere',
		'--traffic-address',
		'127.0.0.1:27090',
		'--admin-address',
		'127.0.0.1:27091',
		'--fleet-secret',
		SECRET_TEXT,
		'--operator-token',
		SECRET_TEXT,
	],
	['dev', '--traffic-port', 'nowhere', '--admin-port', '27092', '--operator-token', SECRET_TEXT],
	['load', '--targets', 'nowhere', '--seconds', '1', '--requests-per-second', '1'],
	['catalogue', 'list', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT, '--format', 'json'],
	['catalogue', 'show', 'decoy', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT],
	['catalogue', 'remove', 'decoy', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT, '--revision', 'x', '--no-wait'],
	['catalogue', 'history', 'decoy', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT],
	['fleet', 'status', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT],
	['upstreams', 'list', 'decoy', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT],
	['report', 'burn', '--admin', '127.0.0.1:1', '--operator-token', SECRET_TEXT, '--window', '1h'],
	['--help'],
	['--version'],
	[],
];

const ODD_WORDS = ['', '-', '--', '--=', '--format', '--format=', '-h', '--no-wait=maybe', '__proto__', '--__proto__', '\0', '\n', '🜂', 'a'.repeat(10_000), '--help', '--admin', '[::', '-1'];

const VARIABLES: ReadonlyArray<readonly [string, string]> = [
	['WAGTAILROUTE_ADMIN', '127.0.0.1:1'],
	['WAGTAILROUTE_FORMAT', 'x'],
	['WAGTAILROUTE_LOG_LEVEL', ''],
	['WAGTAILROUTE_SEEDS', ',,,'],
	['WAGTAILROUTE_SEEDS', '127.0.0.1:99999'],
	['WAGTAILROUTE_OPERATOR_TOKE', SECRET_TEXT],
	['WAGTAILROUTE_FLEET_SECRETS', SECRET_TEXT],
	['WAGTAILROUTE_', 'x'],
	['WAGTAILROUTE___PROTO__', 'x'],
	['WAGTAILROUTE_INITIAL_CONTROL', 'a=b=c'],
	['WAGTAILROUTE_INITIAL_CONTROL', 'a=127.0.0.1:1,a=127.0.0.1:1'],
	['WAGTAILROUTE_REVISION', '1e99'],
	['WAGTAILROUTE_STATSD', '\0'],
	['wagtailroute_admin', 'x'],
	['WAGTAILROUTE_WINDOW', '99999999999d'],
];

const NEVER_STARTED: ReadonlySet<string> = new Set(['run', 'dev', 'load']);

function mutateWords(random: utils.Random, words: readonly string[]): string[] {
	const changed = [...words];
	for (let left = utils.pickIndex(random, 4); left > 0; left--) {
		const at = utils.pickIndex(random, changed.length + 1);
		const isKept = at === 0 || changed[at] === 'nowhere' || changed[at + 1] === 'nowhere' || changed[at - 1] === 'nowhere';
		const removed = isKept || random() < 0.3 ? 0 : 1;
		const word = random() < 0.5 ? pick(random, ODD_WORDS) : mutateText(random, changed[at] ?? 'x');
		changed.splice(at, removed, ...random() < 0.8 ? [word] : []);
	}

	return changed;
}

function createSink(texts: string[]): stream.Writable {
	return new stream.Writable({
		write(chunk, _encoding, done) {
			texts.push(String(chunk));
			done();
		},
	});
}

async function runWords(words: readonly string[], environment: Readonly<Record<string, string>>): Promise<InputResult> {
	const output: string[] = [];
	const errors: string[] = [];
	try {
		const code = await cli.runCli(words, {
			environment, stdin: stream.Readable.from([]), stdout: createSink(output), stderr: createSink(errors),
		});
		return {faults: findFaults(words, code, output.join(''), errors.join(''))};
	} catch (error) {
		return {faults: [`thrown: ${error instanceof Error ? error.stack : String(error)}`]};
	}
}

/**
A secret that lost its flag can't be told from any other word; one that follows a flag much like its own can.
*/
function isEachSecretMarked(words: readonly string[]): boolean {
	return words.every((word, index) => !word.includes(SECRET_TEXT) || (word === SECRET_TEXT && /^-.*(?:tok|secret)/isv.test(words[index - 1] ?? '')));
}

function findFaults(words: readonly string[], code: number, output: string, errors: string): readonly string[] {
	const text = `${output}${errors}`;
	return [
		EXIT_CODES.has(code) ? '' : `exit code ${code}`,
		text.includes(SECRET_TEXT) && isEachSecretMarked(words) ? `a secret was printed: ${text.slice(0, 300)}` : '',
		text.includes('\n    at ') ? `a stack was printed: ${text.slice(0, 500)}` : '',
		code !== 0 && errors.trimEnd().split('\n').length > 1 ? `more than one line: ${JSON.stringify(errors.slice(0, 300))}` : '',
		code !== 0 && text === '' ? `no word on exit code ${code}` : '',
	].filter(fault => fault !== '');
}

/**
The surface.
*/
export const COMMAND_LINE_SURFACE: Surface = {
	name: 'command-line',
	needsTarget: false,
	createInput(random) {
		const command = pick(random, COMMANDS);
		const changed = mutateWords(random, command);
		// A changed word may hide the setting that keeps these from starting.
		const isSafe = !NEVER_STARTED.has(changed[0] ?? '') || changed.includes('nowhere');
		const words = isSafe ? changed : command;
		const environment = Object.fromEntries(random() < 0.3 ? [pick(random, VARIABLES)] : []);
		return {
			text: JSON.stringify({words, environment}).slice(0, 2000),
			run: async () => runWords(words, environment),
		};
	},
};
