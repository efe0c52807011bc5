/**
Tests of flags, environment variables and the error line for an invalid one.
*/
import test from 'ava';
import * as settings from '../../settings.ts';
import * as cliRunner from './cli-runner.ts';

const HOST_FLAGS = {
	hostId: 'h1',
	failureDomain: 'fd1',
	trafficAddress: '127.0.0.1:8080',
	adminAddress: '127.0.0.1:8081',
	peerAddress: '[::1]:8082',
	operatorToken: 't',
	fleetSecret: 's',
};

const HOST_SETTINGS = {
	hostId: 'h1',
	failureDomain: 'fd1',
	region: 'default',
	roles: ['entry'],
	trafficAddress: {ip: '127.0.0.1', port: 8080},
	adminAddress: {ip: '127.0.0.1', port: 8081},
	peerAddress: {ip: '::1', port: 8082},
	seeds: [],
	initialControl: [],
	operatorToken: 't',
	fleetSecret: 's',
	logFormat: 'text',
	logLevel: 'info',
};

function createEnvironment(name: string, value: string): Readonly<Record<string, string>> {
	return {[`WAGTAILROUTE_${name}`]: value};
}

type GoodCase = {
	readonly name: string;
	readonly given?: settings.GivenFlags;
	readonly environment?: settings.Environment;
	readonly expected: Partial<settings.HostSettings>;
};

const GOOD_CASES: readonly GoodCase[] = [
	{name: 'the defaults', expected: {}},
	{name: 'a variable', environment: createEnvironment('REGION', 'west'), expected: {region: 'west'}},
	{
		name: 'a flag before its variable',
		given: {region: 'east'},
		environment: createEnvironment('REGION', 'west'),
		expected: {region: 'east'},
	},
	{
		name: 'lists',
		given: {
			roles: 'entry,control', dataFolder: 'data', seeds: '10.0.0.1:1, 10.0.0.2:2', initialControl: 'c1=10.0.0.1:1',
		},
		expected: {
			roles: ['entry', 'control'],
			dataFolder: 'data',
			seeds: [{ip: '10.0.0.1', port: 1}, {ip: '10.0.0.2', port: 2}],
			initialControl: [{id: 'c1', address: {ip: '10.0.0.1', port: 1}}],
		},
	},
];

for (const {name, given, environment, expected} of GOOD_CASES) {
	test(`the host settings accept ${name}`, t => {
		const read = settings.readSettings(settings.HOST_SETTINGS, {...HOST_FLAGS, ...given}, environment ?? {});
		t.deepEqual(read.unwrap() as object, {...HOST_SETTINGS, ...expected});
	});
}

const BAD_HOST_CASES: ReadonlyArray<{readonly given: settings.GivenFlags; readonly expectedError: string}> = [
	{given: {hostId: undefined}, expectedError: '--host-id'},
	{given: {hostId: 'a b'}, expectedError: '"a b"'},
	{given: {roles: 'entry,entry'}, expectedError: 'entry, control or entry,control'},
	{given: {roles: ''}, expectedError: '--roles'},
	{given: {roles: 'control'}, expectedError: '--data-folder'},
	{given: {peerAddress: '127.0.0.1:65536'}, expectedError: 'ip:port'},
	{given: {peerAddress: 'localhost:1'}, expectedError: '"localhost:1"'},
	{given: {seeds: '127.0.0.1'}, expectedError: '--seeds'},
	{given: {initialControl: 'c1:10.0.0.1:1'}, expectedError: 'id=ip:port'},
	{given: {fleetSecret: 'two words'}, expectedError: '(hidden)'},
];

for (const {given, expectedError} of BAD_HOST_CASES) {
	test(`the host settings ${JSON.stringify(given)} are refused with an error that contains ${expectedError}`, t => {
		const read = settings.readSettings(settings.HOST_SETTINGS, {...HOST_FLAGS, ...given}, {});
		t.true(read.unwrapErr().message.includes(expectedError), read.unwrapErr().message);
		t.false(read.unwrapErr().message.includes('two words'));
	});
}

type BadCase = {
	readonly argv: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	readonly expectedParts: readonly string[];
};

const BAD_CASES: readonly BadCase[] = [
	{argv: [], expectedParts: ['command', '""', 'dev']},
	{argv: ['serve'], expectedParts: ['command', '"serve"', 'run']},
	{argv: ['dev', '--trafic-port', '1'], expectedParts: ['--trafic-port', '"1"', '--traffic-port']},
	{argv: ['dev', '--trafic-port=1'], expectedParts: ['--trafic-port', '"1"', '--traffic-port']},
	{argv: ['dev', '--traffic-port', 'abc'], expectedParts: ['--traffic-port', '"abc"', '0 to 65535']},
	{argv: ['dev', '--traffic-port'], expectedParts: ['--traffic-port', '""', '0 to 65535']},
	{argv: ['dev', 'more'], expectedParts: ['more', 'wagtailroute dev']},
	{argv: ['catalogue', 'show'], expectedParts: ['<NAME>']},
	{argv: ['report', 'burn', '--window', '0h'], expectedParts: ['--window', '"0h"', '1h']},
	{argv: ['catalogue', 'list', '--format', 'html'], expectedParts: ['--format', '"html"', 'text or json']},
	{argv: ['catalogue', 'apply', 'no-such-file.yaml'], expectedParts: ['FILE', 'no-such-file.yaml']},
	{argv: ['dev'], environment: createEnvironment('ADMIN_PORT', '-1'), expectedParts: ['WAGTAILROUTE_ADMIN_PORT', '"-1"', '0 to 65535']},
	{argv: ['dev'], environment: createEnvironment('COLOUR', 'red'), expectedParts: ['WAGTAILROUTE_COLOUR', '"red"', 'WAGTAILROUTE_REGION']},
	{argv: ['dev'], environment: createEnvironment('OPERATOR_TOKN', 'red'), expectedParts: ['WAGTAILROUTE_OPERATOR_TOKN', '(hidden)']},
];

for (const {argv, environment, expectedParts} of BAD_CASES) {
	test(`"${argv.join(' ')}" ${JSON.stringify(environment ?? {})} exits with 2 and prints one line`, async t => {
		const {code, output, errors} = await cliRunner.runCli(argv, environment);
		t.is(code, 2);
		t.is(output, '');
		t.is(errors.split('\n').length, 2);
		for (const part of expectedParts) {
			t.true(errors.includes(part), `${part} is not in ${errors}`);
		}
	});
}
