/**
Tests of flags, environment variables and the line that a bad one is answered with.
*/
import test from 'ava';
import * as settings from '../../settings.ts';
import * as surroundings from './surroundings.ts';

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
	test(`the settings of a host take ${name}`, t => {
		const read = settings.readSettings(settings.HOST_SETTINGS, {...HOST_FLAGS, ...given}, environment ?? {});
		t.deepEqual(read.unwrap() as object, {...HOST_SETTINGS, ...expected});
	});
}

const BAD_HOST_CASES: ReadonlyArray<{readonly given: settings.GivenFlags; readonly told: string}> = [
	{given: {hostId: undefined}, told: '--host-id'},
	{given: {hostId: 'a b'}, told: '"a b"'},
	{given: {roles: 'entry,entry'}, told: 'entry, control or entry,control'},
	{given: {roles: ''}, told: '--roles'},
	{given: {roles: 'control'}, told: '--data-folder'},
	{given: {peerAddress: '127.0.0.1:65536'}, told: 'ip:port'},
	{given: {peerAddress: 'localhost:1'}, told: '"localhost:1"'},
	{given: {seeds: '127.0.0.1'}, told: '--seeds'},
	{given: {initialControl: 'c1:10.0.0.1:1'}, told: 'id=ip:port'},
	{given: {fleetSecret: 'two words'}, told: '(hidden)'},
];

for (const {given, told} of BAD_HOST_CASES) {
	test(`the host settings ${JSON.stringify(given)} are refused and ${told} is told`, t => {
		const read = settings.readSettings(settings.HOST_SETTINGS, {...HOST_FLAGS, ...given}, {});
		t.true(read.unwrapErr().message.includes(told), read.unwrapErr().message);
		t.false(read.unwrapErr().message.includes('two words'));
	});
}

type BadCase = {
	readonly words: readonly string[];
	readonly environment?: Readonly<Record<string, string>>;
	readonly told: readonly string[];
};

const BAD_CASES: readonly BadCase[] = [
	{words: [], told: ['command', '""', 'dev']},
	{words: ['serve'], told: ['command', '"serve"', 'run']},
	{words: ['dev', '--trafic-port', '1'], told: ['--trafic-port', '"1"', '--traffic-port']},
	{words: ['dev', '--trafic-port=1'], told: ['--trafic-port', '"1"', '--traffic-port']},
	{words: ['dev', '--traffic-port', 'abc'], told: ['--traffic-port', '"abc"', '0 to 65535']},
	{words: ['dev', '--traffic-port'], told: ['--traffic-port', '""', '0 to 65535']},
	{words: ['dev', 'more'], told: ['more', 'wagtailroute dev']},
	{words: ['catalogue', 'show'], told: ['<NAME>']},
	{words: ['report', 'burn', '--window', '0h'], told: ['--window', '"0h"', '1h']},
	{words: ['catalogue', 'list', '--format', 'html'], told: ['--format', '"html"', 'text or json']},
	{words: ['catalogue', 'apply', 'no-such-file.yaml'], told: ['FILE', 'no-such-file.yaml']},
	{words: ['dev'], environment: createEnvironment('ADMIN_PORT', '-1'), told: ['WAGTAILROUTE_ADMIN_PORT', '"-1"', '0 to 65535']},
	{words: ['dev'], environment: createEnvironment('COLOUR', 'red'), told: ['WAGTAILROUTE_COLOUR', '"red"', 'WAGTAILROUTE_REGION']},
	{words: ['dev'], environment: createEnvironment('OPERATOR_TOKN', 'red'), told: ['WAGTAILROUTE_OPERATOR_TOKN', '(hidden)']},
];

for (const {words, environment, told} of BAD_CASES) {
	test(`"${words.join(' ')}" ${JSON.stringify(environment ?? {})} ends with 2 and one line`, async t => {
		const {code, output, errors} = await surroundings.run(words, environment);
		t.is(code, 2);
		t.is(output, '');
		t.is(errors.split('\n').length, 2);
		for (const part of told) {
			t.true(errors.includes(part), `${part} is not in ${errors}`);
		}
	});
}
