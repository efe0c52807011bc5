/**
Tests of the checks of a generation before it is sent, and that validation returns all faults.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as generations from '../../index.ts';

const ROUTE: generations.GenerationRoute = {
	name: 'r',
	host: 'a.example',
	pathPrefix: '/read/',
	class: 'read',
	timeoutMilliseconds: 2000,
	objectiveMilliseconds: 1000,
	priority: 1,
	attempts: 2,
	shares: [{service: 'archive', weight: 1}],
};

const SERVICE: generations.GenerationService = {name: 'archive', healthPath: '/health', connectionsPerUpstream: 100};

const ORGANISATION: generations.GenerationOrganisation = {
	name: 'parish', keys: ['k1'], ratePerSecond: 10, burst: 5,
};

const GENERATION: generations.Generation = {
	version: 1,
	routes: [ROUTE],
	services: [SERVICE],
	organisations: [ORGANISATION],
	limits: {
		headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
};

type FaultCase = {
	readonly name: string;
	readonly value: unknown;
	readonly faults: readonly string[];
};

// Guards against an operator who mends one fault, sends the generation again and gets the next one.
const FAULT_CASES: readonly FaultCase[] = [
	{name: 'no object', value: null, faults: ['generation-malformed']},
	{
		name: 'invalid fields of several items',
		value: {
			...GENERATION, version: -1, routes: [{...ROUTE, host: '', attempts: 0}], services: [SERVICE, {...SERVICE, connectionsPerUpstream: 0}],
		},
		faults: [
			'generation-malformed version',
			'generation-malformed routes.0.host',
			'generation-malformed routes.0.attempts',
			'generation-malformed services.1.connectionsPerUpstream',
		],
	},
	{
		name: 'rules broken beside an invalid item',
		value: {
			...GENERATION,
			routes: [{...ROUTE, host: ''}, ROUTE, {...ROUTE, host: 'A.example'}, {...ROUTE, pathPrefix: '/x/', shares: [{service: 'other', weight: 0}]}],
		},
		faults: [
			'generation-malformed routes.0.host',
			'service-unknown routes.3.shares.0.service',
			'weights-empty routes.3.shares',
			'route-conflict routes.2.pathPrefix',
		],
	},
	{
		name: 'a service that is named by a route and has an invalid field',
		value: {...GENERATION, services: [{...SERVICE, connectionsPerUpstream: 0}]},
		faults: ['generation-malformed services.0.connectionsPerUpstream'],
	},
	{
		name: 'organisations with the same names and keys',
		value: {...GENERATION, organisations: [ORGANISATION, {...ORGANISATION, name: 'other', keys: ['k2', 'k1']}, {...ORGANISATION, keys: ['k2']}]},
		faults: ['key-conflict organisations.1.keys.1', 'organisation-conflict organisations.2.name', 'key-conflict organisations.2.keys.0'],
	},
];

for (const {name, value, faults} of FAULT_CASES) {
	test(`returns all faults: ${name}`, t => {
		const issues = generations.checkGeneration(value).unwrapErr();
		t.deepEqual(issues.map(({kind, path}) => [kind, path.join('.')].join(' ').trim()), faults);
		t.is(generations.parseGeneration(value).unwrapErr().kind, issues[0]!.kind);
		t.notRegex(JSON.stringify(issues), /k[12]/v);
	});
}

type WarningCase = {
	readonly name: string;
	readonly changes: Partial<generations.Generation>;
	readonly warnings: readonly string[];
};

// Guards against a setting without effect that goes unnoticed, and against one with effect that is called without.
const WARNING_CASES: readonly WarningCase[] = [
	{name: 'a valid generation', changes: {}, warnings: []},
	{
		name: 'hosts with a port',
		changes: {routes: [ROUTE, {...ROUTE, host: 'a.example:8080'}, {...ROUTE, host: 'port:number.example'}]},
		warnings: ['host-with-port routes.1.host'],
	},
	{
		name: 'a prefix with a query',
		changes: {routes: [{...ROUTE, pathPrefix: '/read/?year='}]},
		warnings: ['prefix-with-query routes.0.pathPrefix'],
	},
	{
		name: 'a share without weight in a split',
		changes: {
			routes: [{...ROUTE, shares: [{service: 'archive', weight: 1}, {service: 'media', weight: 0}]}],
			services: [SERVICE, {...SERVICE, name: 'media'}],
		},
		warnings: ['share-without-weight routes.0.shares.1.weight'],
	},
	{
		name: 'a service that no route names',
		changes: {services: [{...SERVICE, name: 'media'}, SERVICE]},
		warnings: ['service-unused services.0'],
	},
	{
		name: 'a service that is replaced',
		changes: {services: [SERVICE, {...SERVICE, healthPath: '/other'}]},
		warnings: ['service-repeated services.0'],
	},
	{
		name: 'a timeout below the objective',
		changes: {routes: [{...ROUTE, timeoutMilliseconds: 999, attempts: 1}, {...ROUTE, host: 'b', timeoutMilliseconds: 1000}]},
		warnings: ['timeout-below-objective routes.0.timeoutMilliseconds'],
	},
	{
		name: 'attempts that take longer than the timeout',
		changes: {
			routes: [
				{...ROUTE, attempts: 3},
				{
					...ROUTE, host: 'once', timeoutMilliseconds: 1500, attempts: 1,
				},
				{
					...ROUTE, host: 'not-idempotent', class: 'non-idempotent', attempts: 3,
				},
				{
					...ROUTE, host: 'no-objective', objectiveMilliseconds: 2000, attempts: 3,
				},
			],
		},
		warnings: ['attempts-beyond-timeout routes.0.attempts'],
	},
	{
		name: 'a burst below one request',
		changes: {
			organisations: [{...ORGANISATION, burst: 0.9}, {
				...ORGANISATION, name: 'one', keys: ['k2'], burst: 1,
			}],
		},
		warnings: ['burst-below-one-request organisations.0.burst'],
	},
	{
		name: 'a burst without a rate, and no limit at all',
		changes: {
			organisations: [{...ORGANISATION, ratePerSecond: 0}, {
				...ORGANISATION, name: 'free', keys: ['k2'], ratePerSecond: 0, burst: 0,
			}],
		},
		warnings: ['burst-without-rate organisations.0.burst'],
	},
	{
		name: 'an organisation without keys',
		changes: {
			organisations: [{...ORGANISATION, keys: [], burst: 0}, {
				...ORGANISATION, name: 'other', keys: [], ratePerSecond: 0,
			}],
		},
		warnings: [],
	},
];

for (const {name, changes, warnings} of WARNING_CASES) {
	test(`warnings: ${name}`, t => {
		const generation = generations.parseGeneration({...GENERATION, ...changes}).unwrap();
		t.deepEqual(generations.findWarnings(generation).map(({code, path}) => `${code} ${path.join('.')}`), warnings);
	});
}

test('of the routes of a valid generation, none is covered by others', t => {
	// Guards against a route without effect: the checks report no covered routes, because a path that equals a prefix finds its route.
	const prefix = fc.array(fc.constantFrom('a', 'b', 'ab', '/'), {maxLength: 4}).map(parts => `/${parts.join('')}`);
	const route = fc.record({host: fc.constantFrom('a.example', 'A.example', 'b.example'), pathPrefix: prefix});
	const getLocation = ({host, pathPrefix}: {readonly host: string; readonly pathPrefix: string}) => host.toLowerCase() + pathPrefix;
	fc.assert(fc.property(fc.uniqueArray(route, {selector: getLocation, maxLength: 10}), routes => {
		const generation = generations.parseGeneration({...GENERATION, routes: routes.map(changes => ({...ROUTE, ...changes}))}).unwrap();
		const find = generations.createRouteFinder(generation);
		t.true(generation.routes.every(item => find(item.host.toLowerCase(), item.pathPrefix) === item));
	}));
});
