/**
Tests of generations: their validation, the look-up of keys and routes, split routes and the replicated state.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
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

const GENERATION: generations.Generation = {
	version: 1,
	routes: [ROUTE],
	services: [
		{name: 'archive', healthPath: '/health', connectionsPerUpstream: 100},
		{name: 'media', healthPath: '/health', connectionsPerUpstream: 100},
	],
	limits: {
		headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3000, idleMilliseconds: 15_000,
	},
};

type CheckCase = {
	readonly name: string;
	readonly routes: ReadonlyArray<Partial<Record<keyof generations.GenerationRoute, unknown>>>;
	readonly kind: generations.GenerationFailure['kind'];
};

const INVALID: readonly CheckCase[] = [
	{name: 'a prefix without a slash', routes: [{pathPrefix: 'read/'}], kind: 'generation-malformed'},
	{name: 'an empty host', routes: [{host: ''}], kind: 'generation-malformed'},
	{name: 'a class that is unknown', routes: [{class: 'sometimes'}], kind: 'generation-malformed'},
	{name: 'a route without a timeout', routes: [{timeoutMilliseconds: undefined}], kind: 'generation-malformed'},
	{name: 'a route without shares', routes: [{shares: []}], kind: 'generation-malformed'},
	{name: 'a service that is unknown', routes: [{shares: [{service: 'other', weight: 1}]}], kind: 'service-unknown'},
	{name: 'weights that add up to 0', routes: [{shares: [{service: 'archive', weight: 0}]}], kind: 'weights-empty'},
	{name: 'two routes with the same host and prefix', routes: [{}, {host: 'A.example'}], kind: 'route-conflict'},
];

for (const {name, routes, kind} of INVALID) {
	test(`refuses ${name}`, t => {
		const value = {...GENERATION, routes: routes.map(route => ({...ROUTE, ...route}))};
		t.is(generations.parseGeneration(value).unwrapErr().kind, kind);
	});
}

const ORGANISATION: generations.GenerationOrganisation = {
	name: 'parish', keys: ['k1', 'k2'], ratePerSecond: 10, burst: 5,
};

type OrganisationCase = {
	readonly name: string;
	readonly organisations: ReadonlyArray<Partial<Record<keyof generations.GenerationOrganisation, unknown>>>;
	readonly kind: generations.GenerationFailure['kind'];
};

const INVALID_ORGANISATIONS: readonly OrganisationCase[] = [
	{name: 'a key held by two organisations', organisations: [{}, {name: 'other', keys: ['k2']}], kind: 'key-conflict'},
	{name: 'a name used twice', organisations: [{}, {keys: ['k3']}], kind: 'organisation-conflict'},
	{name: 'an empty name', organisations: [{name: ''}], kind: 'generation-malformed'},
	{name: 'an empty key', organisations: [{keys: ['']}], kind: 'generation-malformed'},
	{name: 'keys that are no list', organisations: [{keys: 'k1'}], kind: 'generation-malformed'},
	{name: 'a rate below 0', organisations: [{ratePerSecond: -1}], kind: 'generation-malformed'},
	{name: 'a burst below 0', organisations: [{burst: -0.5}], kind: 'generation-malformed'},
	{name: 'a rate that is no number', organisations: [{ratePerSecond: NaN}], kind: 'generation-malformed'},
	{name: 'a rank that is no whole number', organisations: [{priority: 1.5}], kind: 'generation-malformed'},
];

for (const {name, organisations, kind} of INVALID_ORGANISATIONS) {
	test(`refuses ${name} without revealing a key`, t => {
		const value = {...GENERATION, organisations: organisations.map(organisation => ({...ORGANISATION, ...organisation}))};
		const failure = generations.parseGeneration(value).unwrapErr();
		t.is(failure.kind, kind);
		t.notRegex(failure.message, /k[123]/v);
	});
}

const KEYS = [
	{key: 'k1', found: 'parish'},
	{key: 'k2', found: 'parish'},
	{key: 'K1', found: undefined},
	{key: 'k', found: undefined},
	{key: 'k11', found: undefined},
	{key: '', found: undefined},
	{key: 'other', found: 'archive friends'},
	{key: '__proto__', found: undefined},
] as const;

for (const {key, found} of KEYS) {
	test(`the key '${key}' belongs to ${String(found)}`, t => {
		const find = generations.createOrganisationFinder({organisations: [ORGANISATION, {...ORGANISATION, name: 'archive friends', keys: ['other']}]});
		t.is(find(key)?.name, found);
	});
}

test('a generation without organisations holds no key', t => {
	t.is(generations.createOrganisationFinder({})('k1'), undefined);
});

test('a snapshot from a program version without organisations is restored', t => {
	// Guards against control hosts without a catalogue after an upgrade: the old version stored a generation without organisations, and the
	// new version could not read it from disk because it required a field that only it writes.
	const replicated = generations.createReplicatedGenerations();
	replicated.restoreSnapshot({stored: {generation: GENERATION, document: '{}'}, retirements: []});
	t.deepEqual(generations.parseGeneration(replicated.getStored()?.generation).unwrap(), GENERATION);
	replicated.apply({name: 'put', stored: {generation: {...GENERATION, version: 2, organisations: [ORGANISATION]}, document: '{}'}}, 1);
	t.deepEqual(replicated.getStored()?.generation.organisations, [ORGANISATION]);
});

test('accepts a valid generation and ignores unknown fields', t => {
	t.deepEqual(generations.parseGeneration({...GENERATION, extra: 1}).unwrap(), GENERATION);
});

const LOOK_UPS = [
	{host: 'a.example', path: '/read/x', found: '/read/'},
	{host: 'a.example', path: '/read/', found: '/read/'},
	{host: 'a.example', path: '/read/deep/x', found: '/read/deep/'},
	{host: 'a.example', path: '/read/deepest', found: '/read/'},
	{host: 'a.example', path: '/part-of-it', found: '/part'},
	{host: 'a.example', path: '/read', found: undefined},
	{host: 'b.example', path: '/read/x', found: undefined},
] as const;

for (const {host, path, found} of LOOK_UPS) {
	test(`finds ${String(found)} for ${host}${path}`, t => {
		const routes = ['/read/', '/read/deep/', '/part'].map(pathPrefix => ({...ROUTE, pathPrefix}));
		const find = generations.createRouteFinder({...GENERATION, routes});
		t.is(find(host, path)?.pathPrefix, found);
	});
}

test('finds the same route as a linear search through all routes', t => {
	const segment = fc.constantFrom('a', 'b', 'ab');
	const prefix = fc.array(segment, {maxLength: 3}).map(parts => `/${parts.map(part => `${part}/`).join('')}`);
	fc.assert(fc.property(fc.uniqueArray(prefix, {maxLength: 8}), prefix, fc.option(segment, {nil: ''}), (prefixes, folder, last) => {
		const path = folder + last;
		const find = generations.createRouteFinder({...GENERATION, routes: prefixes.map(pathPrefix => ({...ROUTE, pathPrefix}))});
		const [naive] = prefixes.filter(item => path.startsWith(item)).toSorted((left, right) => right.length - left.length);
		t.is(find('a.example', path)?.pathPrefix, naive);
	}));
});

test('splits requests by weight on each host, to within one request per share', t => {
	const route = {...ROUTE, shares: [{service: 'archive', weight: 90}, {service: 'media', weight: 10}]};
	fc.assert(fc.property(fc.integer(), fc.integer({min: 1, max: 500}), (seed, requests) => {
		const choose = generations.createServiceChooser(utils.createRandom(seed));
		const media = Array.from({length: requests}, () => choose(route)).filter(service => service === 'media').length;
		t.true(Math.abs(media - (requests / 10)) <= 1);
	}));
});

test('never chooses a share of weight 0', t => {
	const route = {...ROUTE, shares: [{service: 'archive', weight: 0}, {service: 'media', weight: 1}]};
	const choose = generations.createServiceChooser(() => 0);
	t.deepEqual(new Set(Array.from({length: 20}, () => choose(route))), new Set(['media']));
});

const submit = (version: number, document = `document ${version}`): generations.SubmittedGeneration => ({
	generation: {...GENERATION, version}, document,
});

test('the highest version stays in force, and what was stored under it is not replaced', t => {
	// Guards against an operator reading back another document than the one acknowledged under its version: after version 5 is acknowledged,
	// a late resend of version 4 and other content under version 5 arrive and are put in force because they arrived last.
	const replicated = generations.createReplicatedGenerations();
	replicated.apply({name: 'put', stored: submit(5)}, 2);
	t.deepEqual(replicated.apply({name: 'put', stored: submit(4)}, 3), {version: 5});
	t.deepEqual(replicated.apply({name: 'put', stored: submit(5, 'other')}, 4), {version: 5});
	t.is(generations.decodeDocument(replicated.getStored()!.encoded.document), 'document 5');
});

test('a retirement as gone is final, also after later commands and through a snapshot', t => {
	// Guards against requests to an upstream that was acknowledged as gone, after a restart of all control hosts: a delayed retirement as
	// draining replaced the final one, or the snapshot did not contain it.
	const replicated = generations.createReplicatedGenerations();
	replicated.apply({name: 'retire', retirement: {upstream: 'u', state: 'gone'}}, 5);
	replicated.apply({name: 'retire', retirement: {upstream: 'u', state: 'draining'}}, 6);
	const restored = generations.createReplicatedGenerations();
	restored.restoreSnapshot(structuredClone(replicated.takeSnapshot()));
	t.is(restored.getRetirement('u'), 'gone');
});

test('a state restored from a snapshot behaves like the original', t => {
	const command = fc.oneof(
		fc.nat({max: 20}).map((version): generations.GenerationCommand => ({name: 'put', stored: submit(version)})),
		fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.constantFrom('draining' as const, 'gone' as const))
			.map(([upstream, state]): generations.GenerationCommand => ({name: 'retire', retirement: {upstream, state}})),
	);
	fc.assert(fc.property(fc.array(command), fc.array(command), (before, after) => {
		const whole = generations.createReplicatedGenerations();
		for (const [at, item] of before.entries()) {
			whole.apply(item, at + 1);
		}

		const restored = generations.createReplicatedGenerations();
		restored.restoreSnapshot(structuredClone(whole.takeSnapshot()));
		const known = new Map(whole.listRetirements(0).map(({upstream, state}) => [upstream, state]));
		const knownIndex = whole.getRetirementIndex();
		const first = before.length + 1;
		t.deepEqual(after.map((item, at) => restored.apply(item, first + at)), after.map((item, at) => whole.apply(item, first + at)));
		t.deepEqual(restored.takeSnapshot(), whole.takeSnapshot());
		// A host that knows the retirements up to an index needs those after it only.
		for (const {upstream, state} of whole.listRetirements(knownIndex)) {
			known.set(upstream, state);
		}

		t.deepEqual(Object.fromEntries(known), Object.fromEntries(whole.listRetirements(0).map(({upstream, state}) => [upstream, state])));
	}));
});
