/**
The page docs/CAPACITY.md: text by hand here, figures from the facts.
*/
import {writeChanges, writeLosses} from './events-page.ts';
import {
	BENCHES,
	type Facts,
	getLine,
	type Source,
} from './facts.ts';
import {writeRecords} from './records-page.ts';
import {writeMessages, writeRoles} from './roles-page.ts';
import {PEERS} from './shape.ts';
import {BUDGET, SIZE} from './size.ts';
import {
	mark,
	write,
	writeBytes,
	writeCore,
	writeTable,
} from './tables.ts';

/**
The machine of this run.
*/
export type Machine = {
	readonly date: string;
	readonly processor: string;
	readonly cores: number;
	readonly gigabytes: number;
	readonly loadAverage: number;
	readonly node: string;
};

/**
Writes the page.
*/
export function writePage(facts: Facts, machine: Machine): string {
	return [
		writeIntroduction(machine),
		writeWay(facts),
		writeRoles(facts),
		writeRecords(facts),
		writeChanges(facts),
		writeLosses(facts),
		writeRequests(facts),
		CHANGES_NEEDED,
		writeSources(facts),
	].join('\n');
}

function writeIntroduction(machine: Machine): string {
	return `# Capacity

Made by \`npm run capacity\` from the results that \`npm run bench\` keeps in docs/data; change scripts/capacity, not this page.

Made on ${machine.date}: ${machine.processor}, ${machine.cores} cores, ${machine.gigabytes} GB, Node ${machine.node}, load average ${machine.loadAverage.toFixed(1)}. Where the
table at the end shows a load average of several, other work ran on the machine: those processor times are too high rather
than too low; messages and bytes of simulated fleets don't depend on it.

What the fleet is designed for, and what it may spend:

${writeTable(['matter', 'size or budget'], [
	['hosts, regions, failure domains', [SIZE.hosts, SIZE.regions, SIZE.failureDomains].map(value => write(value)).join(', ')],
	['services, upstreams, routes', [SIZE.services, SIZE.upstreams, SIZE.routes].map(value => write(value)).join(', ')],
	['requests a second at the peak; organisations', [SIZE.requestsPerSecond, SIZE.organisations].map(value => write(value)).join('; ')],
	['changes, and restarts or replacements of hosts, a day', [SIZE.changesPerDay, SIZE.restartsPerDay].map(value => write(value)).join(', ')],
	['control, each host', [writeCore(BUDGET.core * 1e6), writeBytes(BUDGET.memoryBytes), writeBytes(BUDGET.bytesPerSecond, '/s')].join(', ')],
	['hosts set aside for control, at most', write(BUDGET.controlHosts)],
	['a change in force everywhere, at most', write(BUDGET.inForceMilliseconds, 'ms')],
	['added to 99 in 100 requests, at most', write(BUDGET.addedP99Milliseconds, 'ms')],
])}
How to read it: a figure is taken from the straight line (least squares) through at least four measured sizes, at the full
size; where the last measured size is smaller, it is an extrapolation, and the table at the end says so. "Not measured"
means that. **Over** marks what is over the budget. Bytes are those a host sends, counted once, with TLS, without TCP and IP
headers except for datagrams; a host receives as much again. Memory is what stays after a collection of garbage.
`;
}

function writeWay(facts: Facts): string {
	return `## What a message costs

Messages that come one at a time, 3 ms apart, as on a host with little to do; and, in the last column, calls back to back and
notifications in batches, as at a leader.

${writeMessages(facts)}`;
}

function writeRequests(facts: Facts): string {
	const {overhead} = facts;
	const added = overhead?.rounds.map(round => round.addedP99);
	const worst = added === undefined ? undefined : Math.max(...added);
	const held = overhead?.rates.findLast(rate => rate.answered >= rate.offered * 0.98 && rate.p99 < 100);
	const needed = SIZE.requestsPerSecond / SIZE.hosts;
	return `## Requests

${writeTable(['one host, one core (`npm run experiment -- overhead`)', 'figure'], [
	['requests a second a host at the peak', write(needed)],
	['added at p99, worst of the rounds', mark(write(worst, 'ms'), worst, BUDGET.addedP99Milliseconds)],
	['added at p99, each round', added === undefined ? write(undefined) : added.map(value => write(value, 'ms')).join(', ')],
	['rate of those rounds, a second', write(overhead?.rate)],
	['greatest rate held (98% answered, p99 under 100 ms), a second', write(held?.answered)],
	['processor time of the host at that rate', writeCore(held === undefined ? undefined : held.cores * 1e6)],
])}`;
}

const CHANGES_NEEDED = `## What must change before the full size

In the order in which it binds. None of it is built. The figures are in the tables above.

1. **Keyed requests fill the records.** At a few claims a second a cell is full within its retention of a day. Records must be
   kept on disk by key, not as one JSON state in memory; services must be sharded over the control hosts (\`open-service\`,
   \`close-service\` and \`adopted\` exist); and the retention must be weighed with the users against what 28 hosts can hold.
2. **A full cell can't be compacted.** Its snapshot is larger than one message may be: snapshots must travel in parts.
3. **Renewals of shares load the one leader**, and all 28 members follow them. They must become volatile leases of a small cell
   for each service. Polls of tables that didn't change must go to any replica, or ride as a version on messages that are sent
   anyway. Hosts must remember the leader, which halves the calls.
4. **Summaries of detection** are far over the bytes and the processor time of a host. They must be batched by host (one message
   for all shared services), sparse (upstreams with failures or news; totals otherwise) and shorter than JSON. Steps of
   detection take about the whole processor time for control, and must cost in proportion to what changed.
5. **The rest of a host's control** is over the bytes also without summaries: news of restarts, digests of leases, notices of
   revisions and renewals of shares, one HTTP request each. Small ones must share a message.
6. **Each message to a random host opens a connection.** Between regions far apart the round trips of the handshakes alone use
   up the 4 s. Notices of revisions must go by datagram, or to fixed neighbours that stay connected, one in each region first.
   Hosts that nobody told wait for their own comparison: a host must be told by more than chance.
7. **A host that comes or goes holds the thread of all others**, longer than may be added to a request; a tenth of the fleet
   restarting or regions that meet again, for seconds. Changes of members must be taken together and in slices, and a host that
   is back within a moment must keep its services.
8. **News of many restarts** spread slowly: the messages are full. Restarts must be told in fewer bytes (name and boot id alone).
9. **"In force everywhere?" asks each host**, over a connection of its own. Answers must be gathered on the way back.
10. **The whole catalogue is sent as text** to each restarted host: compress it, and offer what changed since the copy on its disk.
11. **A burst of changes** must be told as one: one notice for all revisions of a moment.
12. **Heartbeats of two groups to 28 members** are over the bytes at a leader: learners need fewer, both groups can share one.
`;

function writeSources(facts: Facts): string {
	const rows = BENCHES.map(name => {
		const data = facts.benches.get(name);
		return data === undefined
			? [name, 'not run', '', '', '']
			: [name, data.title, data.date, data.machine.loadAverage.toFixed(1), data.broken.length === 0 ? 'hold' : data.broken.join(' ')];
	});
	return [
		'## Measured lines\n',
		writeTable(['source', 'from', 'to', 'sizes', 'slope', 'at 0', 'full size'], LINES.map(line => writeLine(facts, line))),
		'Measured by this command itself:\n',
		...[facts.detection, facts.shares, facts.bareNode].map(measured => writeTable(Object.keys(measured[0]!), measured.map(row => Object.values(row).map(String)))),
		'Benches, their load average, and whether their bounds held:\n',
		writeTable(['docs/data', 'bench', 'date', 'load', 'bounds'], rows),
	].join('\n');
}

type NamedLine = {readonly source: Source; readonly columns: readonly [string, string]; readonly full: number};

const LINES: readonly NamedLine[] = [
	...['messagesPerSecond', 'bytesPerSecond', 'cpuMicrosecondsPerSecond', 'heapBytes', 'bytesPerRestart', 'messagesPerRestart', 'cpuMicrosecondsPerRestart']
		.map((column): NamedLine => ({source: 'membership-restarts:quiet', columns: ['hosts', column], full: SIZE.hosts})),
	...['mostKnownMilliseconds', 'allKnownMilliseconds', 'bytesPerSecond']
		.map((column): NamedLine => ({source: 'membership-restarts:storm', columns: ['hosts', column], full: SIZE.hosts})),
	...['messagesPerSecond', 'bytesPerSecond', 'cpuMicrosecondsPerSecond', 'heapBytes', 'recoveredMilliseconds']
		.map((column): NamedLine => ({source: 'announcements-holders', columns: ['peers', column], full: PEERS})),
	...['leaveMilliseconds', 'joinMilliseconds']
		.map((column): NamedLine => ({source: 'assignment-assignment', columns: ['services', column], full: SIZE.services})),
	...['indexBytes', 'answerMicroseconds']
		.map((column): NamedLine => ({source: 'assignment-directory', columns: ['hosts', column], full: SIZE.hosts})),
	...['controlMicroseconds', 'hostMicroseconds', 'wholeBytes']
		.map((column): NamedLine => ({source: 'catalogue-catalogue', columns: ['entries', column], full: SIZE.services})),
	...['hostBytes', 'controlBytes', 'snapshotBytes']
		.map((column): NamedLine => ({source: 'catalogue-memory:entries', columns: ['count', column], full: SIZE.services})),
	...['idleMessagesPerSecond', 'idleBytesPerSecond', 'bytesPerCommand', 'bytesPerBatchedCommand', 'leaderMicrosecondsPerCommand']
		.map((column): NamedLine => ({source: 'replication-replication:group', columns: ['members', column], full: SIZE.controlHosts})),
];

function writeLine(facts: Facts, {source, columns, full}: NamedLine): readonly string[] {
	const line = getLine(facts, source, columns);
	const [name = '', measure] = source.split(':', 2);
	const sizes = (facts.benches.get(name)?.rows ?? [])
		.filter(row => measure === undefined || row.measure === measure)
		.map(row => Number(row[columns[0]]));
	const isBeyond = sizes.length > 0 && Math.max(...sizes) < full;
	const value = line === undefined ? undefined : line.start + (line.slope * full);
	return [
		source,
		columns[0],
		columns[1],
		sizes.join(', '),
		write(line?.slope),
		write(line?.start),
		`${columns[1].endsWith('ytes') ? writeBytes(value) : write(value)}${isBeyond ? ' (extrapolated)' : ''}`,
	];
}
