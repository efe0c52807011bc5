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
	{title: 'a floor above 100%', value: {...ARCHIVE, healthyFloor: '101%'}, names: 'healthyFloor'},
	{title: 'a concurrency limit of 0', value: {...ARCHIVE, limits: {concurrency: 0}}, names: 'concurrency'},
	{title: 'a list', value: [], names: 'entry'},
];

for (const {title, value, names} of BAD_ENTRIES) {
	test(`an entry with ${title} is refused with a message that names the field`, t => {
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

test('the class of the entry applies to the routes that set none', t => {
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
	test(`${host}${path} matches a route of ${service}`, t => {
		t.is(catalogue.matchRoute(TABLE, host, 'GET', path)?.service, service);
	});
}

test('an index updated entry by entry matches like a newly created table', t => {
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

test('a route that does not list the method does not match', t => {
	const entry = catalogue.parseEntry({...ARCHIVE, routes: [{pathPrefix: '/archive', methods: ['POST'], class: 'non-idempotent'}]}).unwrap();
	t.is(catalogue.matchRoute(catalogue.createRouteTable([entry]), 'any', 'GET', '/archive'), undefined);
});

test('of two concurrent changes that are resent, exactly one is accepted, and both operators get their first answer again', t => {
	// Guards against an accepted change being answered as refused, or both as accepted: two operators change revision 1, lose the answers and
	// resend after a snapshot was restored. Without the table of Change-Ids in the snapshot, the accepted change looks stale when resent.
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

test('hosts that exchange deltas in any order reach the latest view and never return to an earlier revision', t => {
	// Guards against a change being reverted on a host: it receives a delta from a current peer and then from a lagging one, or restarts and
	// receives the lagging one's first, and applies a delta without comparing revisions.
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
			const regressedSteps: number[] = [];
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
						regressedSteps.push(index);
					}

					views[step.to] = step.to === 0 ? before : after;
				}
			}

			t.deepEqual(regressedSteps, []);
			const newest = replicated.getView();
			for (const view of views) {
				const after = catalogue.applyDelta(view, catalogue.getDelta(newest, view.revision));
				t.deepEqual(new Set(after.entries.values()), new Set(newest.entries.values()));
			}
		},
	), {seed: SEED, numRuns: 500});
});
