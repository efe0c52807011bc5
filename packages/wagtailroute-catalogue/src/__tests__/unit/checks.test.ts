/**
Tests of the checks of entries before they are sent.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as constants from '../../constants.ts';
import * as catalogue from '../../index.ts';

const ROUTE = {pathPrefix: '/archive', class: 'read'};
const ARCHIVE = {name: 'archive', owner: 'genealogy', routes: [ROUTE]};
const MEDIA = {name: 'media', owner: 'pictures', routes: [{pathPrefix: '/media', class: 'read'}]};

function check(entries: readonly unknown[], inForce?: readonly unknown[]): catalogue.CheckReport {
	return catalogue.checkEntries(entries.map(entry => JSON.stringify(entry)), inForce?.map(entry => catalogue.parseEntry(entry).unwrap()));
}

function describe({severity, code, entry, field}: catalogue.Finding): string {
	return [severity, code, entry, ...field === undefined ? [] : [field]].join(' ');
}

type FindingCase = {
	readonly name: string;
	readonly entries: readonly unknown[];
	readonly inForce?: readonly unknown[];
	readonly findings: readonly string[];
};

// Guards against an entry that the fleet refuses, or only its first fault, being reported as well.
const ERROR_CASES: readonly FindingCase[] = [
	{name: 'a valid entry', entries: [ARCHIVE], findings: []},
	{
		name: 'several invalid fields',
		entries: [{
			...ARCHIVE, owner: '', routes: [{...ROUTE, class: 'maybe'}], limits: {concurrency: 0, colour: 'red'}, flavour: 1, shape: 2,
		}],
		findings: [
			'error entry-invalid archive owner',
			'error entry-invalid archive routes.0.class',
			'error entry-invalid archive limits.concurrency',
			'error entry-invalid archive limits.colour',
			'error entry-invalid archive flavour',
			'error entry-invalid archive shape',
		],
	},
	{
		name: 'entries without a name, by their position',
		entries: [ARCHIVE, {...MEDIA, name: undefined}, {...MEDIA, name: ''}, 'text', null],
		findings: [
			'error entry-invalid #2 name',
			'error entry-invalid #3 name',
			'error entry-invalid #4',
			'error entry-invalid #5',
		],
	},
	{
		name: 'an entry that is too large',
		entries: [{...ARCHIVE, note: 'x'.repeat(constants.MAX_ENTRY_BYTES)}],
		findings: ['error entry-too-large archive', 'error entry-invalid archive note'],
	},
	{
		name: 'routes of earlier entries, all of them',
		entries: [ARCHIVE, MEDIA, {...MEDIA, name: 'other', routes: [...MEDIA.routes, {pathPrefix: '/other', class: 'read'}, {pathPrefix: '/archive/', class: 'read'}]}],
		findings: ['error route-conflict other routes.0', 'error route-conflict other routes.2'],
	},
	{
		name: 'a route of an entry that has a conflict itself',
		entries: [ARCHIVE, {...ARCHIVE, name: 'second', routes: [ROUTE, ...MEDIA.routes]}, MEDIA],
		findings: ['error route-conflict media routes.0', 'error route-conflict second routes.0'],
	},
	{
		name: 'no conflict with other methods or another host',
		entries: [
			{...ARCHIVE, routes: [{...ROUTE, methods: ['GET']}]},
			{...ARCHIVE, name: 'posts', routes: [{...ROUTE, methods: ['POST']}]},
			{...ARCHIVE, name: 'hosted', routes: [{...ROUTE, host: 'archive.example'}]},
		],
		findings: [],
	},
	{
		name: 'a route of an entry in force',
		entries: [{...ARCHIVE, name: 'other'}],
		inForce: [ARCHIVE],
		findings: ['error route-conflict other routes.0'],
	},
	{
		name: 'a route that moves between entries, given up first',
		entries: [{...ARCHIVE, routes: [{...ROUTE, pathPrefix: '/old'}]}, {...ARCHIVE, name: 'other'}],
		inForce: [ARCHIVE],
		findings: [],
	},
	{
		name: 'a route that moves between entries, given up last',
		entries: [{...ARCHIVE, name: 'other'}, {...ARCHIVE, routes: [{...ROUTE, pathPrefix: '/old'}]}],
		inForce: [ARCHIVE],
		findings: ['error route-conflict other routes.0'],
	},
];

// Guards against a route without effect that goes unnoticed, and against a route that matches requests being called without effect.
const ROUTE_CASES: readonly FindingCase[] = [
	{
		name: 'a route whose host, prefix and methods an earlier one has',
		entries: [{...ARCHIVE, routes: [ROUTE, {...ROUTE, pathPrefix: '/archive/', methods: ['GET']}]}],
		findings: ['warning route-covered archive routes.1'],
	},
	{
		name: 'a route whose methods two earlier ones serve together',
		entries: [{...ARCHIVE, routes: [{...ROUTE, methods: ['GET']}, {...ROUTE, methods: ['PUT']}, {...ROUTE, methods: ['PUT', 'GET']}]}],
		findings: ['warning route-covered archive routes.2'],
	},
	{
		name: 'routes with a longer prefix, another host or further methods',
		entries: [{
			...ARCHIVE, routes: [
				{...ROUTE, methods: ['GET']},
				ROUTE,
				{...ROUTE, pathPrefix: '/archive/scans'},
				{...ROUTE, host: 'archive.example'},
			],
		}],
		findings: [],
	},
	{
		name: 'a host with a port',
		entries: [{...ARCHIVE, routes: [ROUTE, {...ROUTE, host: 'archive.example:8080'}]}],
		findings: ['warning host-with-port archive routes.1.host'],
	},
	{
		name: 'misspelt methods only',
		entries: [{...ARCHIVE, routes: [ROUTE, {...ROUTE, pathPrefix: '/a', methods: ['GTE', 'CONNECT']}, {...ROUTE, pathPrefix: '/b', methods: ['GTE', 'GET']}]}],
		findings: ['warning methods-unknown archive routes.1.methods'],
	},
	{
		name: 'a service with such routes only',
		entries: [{...ARCHIVE, routes: [{...ROUTE, methods: ['GTE']}]}],
		findings: ['warning methods-unknown archive routes.0.methods', 'warning service-unmatched archive'],
	},
	{
		name: 'two entries with the same name',
		entries: [ARCHIVE, MEDIA, {...ARCHIVE, owner: 'other'}],
		findings: ['warning entry-repeated archive'],
	},
];

// Guards against limits of which one makes the other pointless, also by its default: 1000 ms for the objective, 100 ms for the queue.
const LIMIT_CASES: readonly FindingCase[] = [
	{
		name: 'a timeout below the objective',
		entries: [{...ARCHIVE, limits: {timeoutMilliseconds: 999}}],
		findings: ['warning timeout-below-objective archive limits.timeoutMilliseconds'],
	},
	{name: 'a timeout that equals the objective', entries: [{...ARCHIVE, limits: {timeoutMilliseconds: 1000}}], findings: []},
	{
		name: 'an objective that a wait in the queue uses up',
		entries: [{...ARCHIVE, objective: {latencyMilliseconds: 100}}],
		findings: ['warning objective-below-queue archive objective.latencyMilliseconds'],
	},
	{name: 'an objective above the wait in the queue', entries: [{...ARCHIVE, objective: {latencyMilliseconds: 101}}], findings: []},
	{
		name: 'a share below one request',
		entries: [{...ARCHIVE, limits: {concurrency: 9, perOrganisationShare: 0.1}}],
		findings: ['warning share-below-one-request archive limits.perOrganisationShare'],
	},
	{name: 'a share of one request', entries: [{...ARCHIVE, limits: {concurrency: 10, perOrganisationShare: 0.1}}], findings: []},
	{name: 'a concurrency of 1 without a share', entries: [{...ARCHIVE, limits: {concurrency: 1}}], findings: []},
	{
		name: 'limits of two entries, sorted by entry',
		entries: [{...MEDIA, limits: {timeoutMilliseconds: 500}}, {...ARCHIVE, limits: {timeoutMilliseconds: 50}}],
		findings: [
			'warning timeout-below-objective archive limits.timeoutMilliseconds',
			'warning timeout-below-objective media limits.timeoutMilliseconds',
		],
	},
];

for (const {name, entries, inForce, findings} of [...ERROR_CASES, ...ROUTE_CASES, ...LIMIT_CASES]) {
	test(`a check finds ${name}`, t => {
		t.deepEqual(check(entries, inForce).findings.map(finding => describe(finding)), findings);
	});
}

// Guards against an entry beyond the limit that is reported only when it is sent, and against refused changes of entries in force.
test('a check finds the new entries that a full catalogue refuses', t => {
	const inForce = Array.from({length: constants.MAX_ENTRIES - 1}, (_value, index) => catalogue.parseEntry({...ARCHIVE, name: `s${index}`, routes: [{...ROUTE, pathPrefix: `/s${index}`}]}).unwrap());
	const entries = [ARCHIVE, MEDIA, inForce[0]];
	const report = catalogue.checkEntries(entries.map(entry => JSON.stringify(entry)), inForce);
	t.deepEqual(report.findings.map(finding => describe(finding)), ['error catalogue-full media']);
});

type DifferenceCase = {
	readonly name: string;
	readonly entries: readonly unknown[];
	readonly inForce?: readonly unknown[];
	readonly differences: readonly catalogue.Difference[];
};

// Guards against a change that isn't shown, a default that is shown as a change, and an entry that is said to be removed although it stays.
const DIFFERENCE_CASES: readonly DifferenceCase[] = [
	{name: 'no entries in force given', entries: [ARCHIVE], differences: []},
	{
		name: 'the same entry, a default stated', entries: [{...ARCHIVE, detection: 'careful'}], inForce: [ARCHIVE], differences: [],
	},
	{
		name: 'entries added and absent, sorted',
		entries: [MEDIA],
		inForce: [ARCHIVE],
		differences: [{change: 'absent', entry: 'archive'}, {change: 'added', entry: 'media'}],
	},
	{
		name: 'fields changed, set and no longer set',
		entries: [{
			...ARCHIVE, owner: 'scans', routes: [{...ROUTE, methods: ['GET', 'PUT']}], limits: {concurrency: 5},
		}],
		inForce: [{...ARCHIVE, routes: [{...ROUTE, methods: ['GET']}, {...ROUTE, host: 'a.example'}], limits: {ratePerSecond: 3}}],
		differences: [
			{
				change: 'changed', entry: 'archive', field: 'owner', before: 'genealogy', after: 'scans',
			},
			{
				change: 'changed', entry: 'archive', field: 'routes.0.methods', before: ['GET'], after: ['GET', 'PUT'],
			},
			{
				change: 'changed', entry: 'archive', field: 'routes.1.host', before: 'a.example', after: undefined,
			},
			{
				change: 'changed', entry: 'archive', field: 'routes.1.pathPrefix', before: '/archive', after: undefined,
			},
			{
				change: 'changed', entry: 'archive', field: 'routes.1.class', before: 'read', after: undefined,
			},
			{
				change: 'changed', entry: 'archive', field: 'limits.concurrency', before: 1000, after: 5,
			},
			{
				change: 'changed', entry: 'archive', field: 'limits.ratePerSecond', before: 3, after: undefined,
			},
		],
	},
	{
		name: 'the last of two entries with the same name',
		entries: [{...ARCHIVE, owner: 'first'}, ARCHIVE],
		inForce: [ARCHIVE],
		differences: [],
	},
	{
		name: 'an invalid entry, which is neither changed nor absent', entries: [{...ARCHIVE, owner: ''}], inForce: [ARCHIVE], differences: [],
	},
];

for (const {name, entries, inForce, differences} of DIFFERENCE_CASES) {
	test(`differences: ${name}`, t => {
		t.deepEqual(check(entries, inForce).differences, differences);
	});
}

const SEED = 20_261_204;

test('a check finds a conflict exactly where the replicated catalogue refuses the first change', t => {
	// Guards against a check that says otherwise than the fleet: entries that it lets pass are then refused half-way through a file.
	t.log(`seed ${SEED}`);
	const route = fc.record({
		pathPrefix: fc.constantFrom('/a', '/a/', '/a/b'),
		host: fc.constantFrom(undefined, 'one.example'),
		methods: fc.constantFrom(undefined, ['GET'], ['PUT']),
		class: fc.constant('read'),
	});
	const entry = fc.record({name: fc.constantFrom('p', 'q', 'r'), owner: fc.constant('team'), routes: fc.array(route, {minLength: 1, maxLength: 2})});
	fc.assert(fc.property(fc.array(entry, {maxLength: 5}), entries => {
		const replicated = catalogue.createReplicatedCatalogue();
		const answers = entries.map((value, index) => replicated.apply({
			changeId: `c${index}`,
			operator: 'operator',
			name: value.name,
			entry: catalogue.parseEntry(value).unwrap(),
			expected: replicated.getView().entries.get(value.name)?.revision ?? 0,
			takenAt: 0,
		}));
		const conflicts = check(entries).findings.filter(({code}) => code === 'route-conflict');
		const firstRefused = answers.findIndex(answer => !answer.accepted);
		t.is(conflicts.length > 0, firstRefused !== -1);
		t.true(firstRefused === -1 || conflicts.some(finding => finding.entry === entries[firstRefused]?.name));
	}), {seed: SEED, numRuns: 500});
});
