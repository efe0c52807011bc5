/**
One valid set of parameters for every method that a host registers, by kind where a method has several.

Nothing here is true: names are of no host, group members are unknown, so that a message that stays well-formed changes
nothing that good requests need. A host that lies in well-formed messages is not what is tested: hosts trust each other.
*/
const ADDRESS = {ip: '127.0.0.1', port: 9};

const ENVELOPE = {
	group: 'records', from: 'ghost~1', to: 'phantom~1', term: 1,
};

const LEASE = {
	service: 'decoy', id: 'ghost-upstream', ...ADDRESS, failureDomain: 'fuzz', slots: 1, connections: 1, state: 'serving', version: 1, holder: 'ghost',
};

const NAMED = {service: 'decoy', organisation: 'ghosts', key: 'k'};

const CLAIM = {
	...NAMED, digest: 'd', attempt: 'a', host: 'ghost', bootId: 'b', budgetMilliseconds: 1000,
};

const VIEW = {
	service: 'decoy', host: 'ghost', serving: ['a', 'b'], draining: [], healthyFloor: {kind: 'percent', value: 70},
};

const SHARE = {
	service: 'decoy', limitName: 'concurrency', host: 'ghost', holds: 0, demand: 1, inUse: 0, limit: 10, carriers: 1,
};

const RECORD_PAYLOADS: Readonly<Record<string, unknown>> = {
	'open-service': {service: 'decoy', origin: {kind: 'new'}},
	'close-service': {service: 'decoy-gone'},
	claim: CLAIM,
	settle: {...NAMED, attempt: 'a', ending: {kind: 'ran', answer: {status: 200, headers: [['a', 'b']], body: 'Yg=='}}},
	'lose-host': {host: 'ghost', bootId: 'b'},
	'forget-host': {host: 'ghost'},
	'report-upstreams': VIEW,
	'request-ejection': {...VIEW, upstream: 'a', badness: 1},
	readmit: {service: 'decoy', upstream: 'a', epoch: 1},
	'renew-shares': {requests: [SHARE]},
	'report-crash': {
		service: 'decoy', upstream: 'a', incarnation: 'i', inFlight: [{fingerprint: 'f', hasCompleted: false}],
	},
	'request-trial': {
		service: 'decoy', fingerprint: 'f', upstream: 'a', attempt: 'a', budgetMilliseconds: 1000,
	},
	'end-trial': {service: 'decoy', attempt: 'a', ending: 'completed'},
	'release-fingerprint': {service: 'decoy', fingerprint: 'f'},
	tick: {},
};

const ENTRY = {
	index: 1, term: 1, kind: 'command', value: {name: 'tick', stampedAt: 0, payload: {}}, bytes: 40,
};

const SNAPSHOT = {
	index: 0,
	term: 1,
	members: [{id: 'ghost~1', role: 'voter'}],
	state: {
		groupTime: 0,
		idempotency: {
			nextToken: 1, running: [], settled: [], abandoned: [],
		},
		services: [],
	},
	bytes: 100,
};

const GROUP_MESSAGES: readonly unknown[] = [
	{
		...ENVELOPE, kind: 'pre-vote', lastIndex: 1, lastTerm: 1,
	},
	{
		...ENVELOPE, kind: 'vote', lastIndex: 1, lastTerm: 1,
	},
	{...ENVELOPE, kind: 'pre-vote-answer', granted: true},
	{...ENVELOPE, kind: 'vote-answer', granted: true},
	{
		...ENVELOPE, kind: 'append', previousIndex: 0, previousTerm: 0, entries: [ENTRY], commit: 0, round: 1,
	},
	{
		...ENVELOPE, kind: 'append-answer', accepted: true, previousIndex: 0, match: 0, round: 1,
	},
	{
		...ENVELOPE, kind: 'install', snapshot: SNAPSHOT, round: 1,
	},
	{
		kind: 'announce', group: 'records', from: 'ghost~1', to: null, isEmpty: true,
	},
];

const CARRIER_MESSAGES: readonly unknown[] = [
	{kind: 'delta', leases: [LEASE]},
	{kind: 'acknowledge', versions: [{service: 'decoy', id: 'ghost-upstream', version: 1}]},
	{kind: 'digest', digests: [{service: 'decoy', count: 1, hash: 1}]},
	{kind: 'query', service: 'decoy', holder: 'ghost'},
	{kind: 'list', service: 'decoy', leases: [{lease: LEASE, milliseconds: 1000}]},
];

const CHANGE = {
	changeId: 'c',
	operator: 'ghost',
	name: 'decoy-9',
	entry: {
		name: 'decoy-9',
		owner: 'fuzz',
		routes: [{pathPrefix: '/decoy-9', class: 'read'}],
		limits: {},
		healthyFloor: '70%',
		detection: 'careful',
		objective: {},
	},
	expected: 0,
	takenAt: 1,
};

const ANNOUNCED = {
	...ADDRESS, failureDomain: 'fuzz', slots: 1, connections: 1, state: 'serving',
};

/**
Valid parameters by method.
*/
export const MESSAGES: ReadonlyMap<string, readonly unknown[]> = new Map<string, readonly unknown[]>([
	['announcements.message', CARRIER_MESSAGES.map(message => ({from: 'ghost', message}))],
	['announcements.tell', [
		{
			service: 'decoy', id: 'u', announcement: ANNOUNCED, isForwarded: true,
		},
		{service: 'decoy', id: 'u', isForwarded: true},
	]],
	['catalogue.delta', [{since: 0}]],
	['catalogue.history', [{name: 'decoy'}]],
	['catalogue.in-force', [{}]],
	['catalogue.revision', [{revision: 1, address: ADDRESS}]],
	['control.message', GROUP_MESSAGES],
	['control.propose', [
		{group: 'catalogue', command: CHANGE},
		...Object.entries(RECORD_PAYLOADS).map(([name, payload]) => ({group: 'records', command: {name, stampedAt: 0, payload}})),
	]],
	['detection.summary', [{
		host: 'ghost', failureDomain: 'fuzz', epoch: 1, told: [['decoy', 1, 'AAAAAAAA']],
	}]],
	['ejections.changed', [{service: 'decoy'}]],
	['ejections.list', [{versions: {decoy: 0}}]],
	['quarantine.changed', [{
		service: 'decoy', version: 1, fingerprint: 'f', standing: 'suspect', milliseconds: 1000,
	}]],
	['quarantine.list', [{versions: {decoy: 0}}]],
	['report.copy', [{
		subject: {id: 'ghost', failureDomain: 'fuzz'},
		isOwn: true,
		isWhole: true,
		copy: [{
			service: 'decoy', windowDays: 28, middle: [[1000, 1, 2, 3]], coarse: [[1000, 1, 2, 3]],
		}],
	}]],
	['report.counters', [{span: 300_000}]],
	['report.held', [{host: 'ghost', span: 300_000}]],
	['report.recall', [{host: 'ghost'}]],
	['report.total', [{host: 'ghost'}]],
	['upstreams.list', [{service: 'decoy'}]],
]);

const SENDER = {
	id: 'ghost', boot: 'b', incarnation: 1, peer: '127.0.0.1:9', revision: 0, load: 0.5,
};

// Without roles a host that is not there gets no requests and no vote.
const RECORD = {
	id: 'ghost', boot: 'b', incarnation: 1, peer: '127.0.0.1:9', traffic: '127.0.0.1:9', admin: '127.0.0.1:9', domain: 'fuzz', region: 'fuzz', roles: '', revision: 0, load: 0,
};

const UPDATES: readonly unknown[] = [
	{kind: 'alive', record: RECORD},
	{
		kind: 'suspect', id: 'ghost', incarnation: 1, by: 'phantom',
	},
	{kind: 'dead', id: 'ghost', incarnation: 1},
	{kind: 'left', id: 'ghost', incarnation: 1},
];

/**
Valid datagrams of the membership.
*/
export const DATAGRAMS: readonly unknown[] = [
	{kind: 'ping', target: 'target', sequence: 1},
	{kind: 'ack', sequence: 1, target: 'phantom'},
	{
		kind: 'request', target: 'phantom', address: '127.0.0.1:9', sequence: 1,
	},
	{kind: 'relaying', sequence: 1},
	{kind: 'gossip'},
	{kind: 'digest', hashes: 'AAAA'.repeat(128)},
	{kind: 'same'},
	{
		kind: 'versions', bucket: 1, whole: true, versions: {ghost: 1},
	},
	{kind: 'fetch', ids: ['target', 'ghost']},
].map(content => ({...content, from: SENDER, updates: UPDATES}));
