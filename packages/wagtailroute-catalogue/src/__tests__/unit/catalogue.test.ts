/**
Tests of entries, routes, the replicated catalogue and views.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as catalogue from '../../index.ts';

const ARCHIVE = {
	name: 'archive',
	owner: 'genealogy',
	routes: [{pathPrefix: '/archive', class: 'read'}],
};

function createEntry(name: string, pathPrefix = `/${name}`, host?: string): catalogue.Entry {
	return catalogue.parseEntry({
		name,
		owner: 'team',
		routes: [{pathPrefix, class: 'read', ...host !== undefined && {host}}],
	}).unwrap();
}

function createChange(name: string, expected: number, changeId: string, entry: catalogue.Entry | undefined = createEntry(name)): catalogue.Change {
	return {
		name,
		expected,
		changeId,
		operator: 'operator',
		takenAt: 0,
		entry,
	};
}

const BAD_ENTRIES = [
	{title: 'no name', value: {...ARCHIVE, name: undefined}, names: 'name'},
	{title: 'a name with a slash', value: {...ARCHIVE, name: 'a/b'}, names: 'name'},
	{title: 'an unknown setting', value: {...ARCHIVE, colour: 'red'}, names: 'colour'},
	{title: 'no routes', value: {...ARCHIVE, routes: []}, names: 'routes'},
	{title: 'a reserved prefix', value: {...ARCHIVE, routes: [{pathPrefix: '/.wagtailroute/x', class: 'read'}]}, names: 'pathPrefix'},
	{title: 'a prefix with dot segments', value: {...ARCHIVE, routes: [{pathPrefix: '/a/../b', class: 'read'}]}, names: 'pathPrefix'},
	{title: 'an unknown class', value: {...ARCHIVE, routes: [{pathPrefix: '/a', class: 'maybe'}]}, names: 'class'},
	{title: 'a floor above the whole', value: {...ARCHIVE, healthyFloor: '101%'}, names: 'healthyFloor'},
	{title: 'a limit of nothing', value: {...ARCHIVE, limits: {concurrency: 0}}, names: 'concurrency'},
	{title: 'a list', value: [], names: 'entry'},
];

for (const {title, value, names} of BAD_ENTRIES) {
	test(`an entry with ${title} is refused by name`, t => {
		const failure = catalogue.parseEntry(value).unwrapErr();
		t.is(failure.kind, 'entry-invalid');
		t.true(failure.message.includes(names), failure.message);
	});
}

const TEXTS = [
	{media: 'json', text: '{"name":', kind: 'entry-malformed'},
	{media: 'yaml', text: 'a: [', kind: 'entry-malformed'},
	{media: 'yaml', text: 'a: &a [1]\nb: [*a, *a]', kind: 'entry-malformed'},
	{media: 'json', text: ' '.repeat(200_000), kind: 'entry-too-large'},
] as const;

for (const {media, text, kind} of TEXTS) {
	test(`${media} text ${JSON.stringify(text.slice(0, 12))} is refused as ${kind}`, t => {
		t.is(catalogue.parseEntryText(text, media).unwrapErr().kind, kind);
	});
}

test('a class of the entry holds for the routes that name none', t => {
	const entry = catalogue.parseEntry({
		name: 'archive',
		owner: 'genealogy',
		class: 'non-idempotent',
		requireIdempotencyKey: true,
		routes: [{pathPrefix: '/a'}, {pathPrefix: '/b', class: 'read', requireIdempotencyKey: false}],
	}).unwrap();
	t.like(entry.routes[0], {class: 'non-idempotent', requireIdempotencyKey: true});
	t.like(entry.routes[1], {class: 'read', requireIdempotencyKey: false});
});

test('defaults are filled in', t => {
	const entry = catalogue.parseEntry(ARCHIVE).unwrap();
	t.is(entry.detection, 'careful');
	t.is(entry.limits.retryRatio, 0.1);
	t.is(entry.objective.windowDays, 28);
});

const SEED = 20_261_202;

const TABLE = catalogue.createRouteTable([
	createEntry('root', '/'),
	createEntry('archive', '/archive'),
	createEntry('scans', '/archive/scans/'),
	createEntry('hosted', '/', 'media.example'),
]);

const LOOKUPS = [
	{host: 'any', path: '/', service: 'root'},
	{host: 'any', path: '/archive', service: 'archive'},
	{host: 'any', path: '/archives', service: 'root'},
	{host: 'any', path: '/archive/tree/1', service: 'archive'},
	{host: 'any', path: '/archive/scans/7', service: 'scans'},
	{host: 'media.example', path: '/archive/scans/7', service: 'hosted'},
];

for (const {host, path, service} of LOOKUPS) {
	test(`${host}${path} belongs to ${service}`, t => {
		t.is(catalogue.matchRoute(TABLE, host, 'GET', path)?.service, service);
	});
}

test('an index that follows its entries matches like a table built anew', t => {
	t.log(`seed ${SEED}`);
	const prefixes = ['/', '/a', '/a/b', '/c'];
	const hosts = [undefined, 'one.example'];
	const lookups = prefixes.flatMap(prefix => ['any', 'one.example'].map(host => ({host, path: `${prefix}/x`})));
	fc.assert(fc.property(
		fc.array(fc.record({
			name: fc.constantFrom('p', 'q', 'r'),
			prefix: fc.constantFrom(...prefixes),
			host: fc.constantFrom(...hosts),
			isRemoved: fc.boolean(),
		}), {maxLength: 30}),
		steps => {
			const index = catalogue.createRouteIndex();
			const entries = new Map<string, catalogue.Entry>();
			for (const step of steps) {
				entries.delete(step.name);
				if (step.isRemoved) {
					index.removeEntry(step.name);
				} else {
					const entry = createEntry(step.name, step.prefix, step.host);
					entries.set(step.name, entry);
					index.setEntry(entry);
				}
			}

			const table = catalogue.createRouteTable(entries.values());
			t.deepEqual(
				lookups.map(({host, path}) => index.match(host, 'GET', path)?.service),
				lookups.map(({host, path}) => catalogue.matchRoute(table, host, 'GET', path)?.service),
			);
		},
	), {seed: SEED, numRuns: 500});
});

test('a route without the method does not match', t => {
	const entry = catalogue.parseEntry({...ARCHIVE, routes: [{pathPrefix: '/archive', methods: ['POST'], class: 'non-idempotent'}]}).unwrap();
	t.is(catalogue.matchRoute(catalogue.createRouteTable([entry]), 'any', 'GET', '/archive'), undefined);
});

test('of two operators that race and each resend, exactly one wins and both learn so', t => {
	// Symptom: both operators believe their change is in force, or the winner is told it lost.
	// Sequence: both change revision 1; both lose the answer; both send again, after a snapshot was restored.
	// Cause: without the table of Change-Ids in the snapshot, the winner's resend looks like a stale change.
	const replicated = catalogue.createReplicatedCatalogue();
	replicated.apply(createChange('archive', 0, 'create'));
	const first = replicated.apply(createChange('archive', 1, 'left'));
	const second = replicated.apply(createChange('archive', 1, 'right'));
	const restored = catalogue.createReplicatedCatalogue();
	restored.restoreSnapshot(structuredClone(replicated.takeSnapshot()));
	t.deepEqual(restored.apply(createChange('archive', 1, 'left')), first);
	t.deepEqual(restored.apply(createChange('archive', 1, 'right')), second);
	t.deepEqual(first, {accepted: true, revision: 2});
	t.is(catalogue.toResult(second).unwrapErr().kind, 'revision-conflict');
	t.is(catalogue.toResult(second).unwrapErr().revision, 2);
});

const REFUSED_CHANGES = [
	{kind: 'entry-unknown', change: {...createChange('none', 0, 'a'), entry: undefined}},
	{kind: 'revision-conflict', change: createChange('archive', 0, 'b')},
	{kind: 'change-id-reused', change: createChange('other', 0, 'create')},
	{kind: 'route-conflict', change: createChange('other', 0, 'c', createEntry('other', '/archive/'))},
] as const;

for (const {kind, change} of REFUSED_CHANGES) {
	test(`a change is refused as ${kind} and changes nothing`, t => {
		const replicated = catalogue.createReplicatedCatalogue();
		replicated.apply(createChange('archive', 0, 'create'));
		const before = replicated.getView();
		t.is(catalogue.toResult(replicated.apply(change)).unwrapErr().kind, kind);
		t.is(replicated.getView(), before);
	});
}

test('hosts that exchange deltas in any order come to the newest view and never go back', t => {
	// Symptom: a change reverts on a host. Sequence: the host hears first from a current peer, then from a lagging one, or
	// restarts and hears from the lagging one first. Cause: a delta applied without comparing revisions.
	t.log(`seed ${SEED}`);
	const names = ['a', 'b', 'c', 'd'];
	fc.assert(fc.property(
		fc.array(fc.record({
			action: fc.constantFrom('put', 'remove', 'exchange', 'exchange', 'restart'),
			name: fc.constantFrom(...names),
			from: fc.nat(3),
			to: fc.nat(3),
		}), {maxLength: 60}),
		steps => {
			const replicated = catalogue.createReplicatedCatalogue();
			const steppedBack: number[] = [];
			const views: catalogue.View[] = [catalogue.EMPTY_VIEW, catalogue.EMPTY_VIEW, catalogue.EMPTY_VIEW, catalogue.EMPTY_VIEW];
			for (const [index, step] of steps.entries()) {
				const revision = replicated.getView().entries.get(step.name)?.revision ?? 0;
				if (step.action === 'put' || step.action === 'remove') {
					const entry = step.action === 'put' ? createEntry(step.name) : undefined;
					replicated.apply({...createChange(step.name, revision, `c${index}`), entry});
					views[0] = replicated.getView();
				} else if (step.action === 'restart' && step.to > 0) {
					views[step.to] = catalogue.EMPTY_VIEW;
				} else {
					const before = views[step.to]!;
					const after = catalogue.applyDelta(before, catalogue.getDelta(views[step.from]!, before.revision));
					if (after.revision < before.revision) {
						steppedBack.push(index);
					}

					views[step.to] = step.to === 0 ? before : after;
				}
			}

			t.deepEqual(steppedBack, []);
			const newest = replicated.getView();
			for (const view of views) {
				const after = catalogue.applyDelta(view, catalogue.getDelta(newest, view.revision));
				t.deepEqual(new Set(after.entries.values()), new Set(newest.entries.values()));
			}
		},
	), {seed: SEED, numRuns: 500});
});
