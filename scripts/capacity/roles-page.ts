/**
The part of the page on roles.
*/
import * as controlRoles from './control-roles.ts';
import {
	getBusyCost,
	getCost,
	multiply,
	sum,
} from './costs.ts';
import {type Facts, getAt} from './facts.ts';
import {listCarrierLines, SUMMARIES} from './carrier-roles.ts';
import {listEntryLines} from './entry-roles.ts';
import {listRecordsLines} from './records-roles.ts';
import * as shape from './shape.ts';
import {SIZE} from './size.ts';
import {
	inBudget,
	write,
	writeBytes,
	writeCore,
	writeTable,
} from './tables.ts';

const HEADS = ['what', 'mechanism', 'state', 'messages/s', 'bytes/s sent', 'of a core', 'memory', 'counts as'];

/**
Writes the tables of all roles.
*/
export function writeRoles(facts: Facts): string {
	const entry = listEntryLines(facts);
	const carrier = listCarrierLines(facts);
	return [
		'## Roles\n',
		'The budget of a host is put on control hosts as well, although they are set aside.\n',
		'### Entry host\n',
		'Every host, whatever it carries.\n',
		writeLines(entry),
		'### Carrier: announcements, detection, shares\n',
		`${write(shape.SERVICES_PER_HOST)} services a host, ${write(shape.UPSTREAMS_PER_SERVICE)} upstreams and ${shape.CARRIERS} carriers a service.\n`,
		'These lines come on top of those of the entry host.\n',
		writeLines(carrier),
		'### Entry host and carrier together\n',
		writeSum(facts, [...entry, ...carrier]),
		'### Control voter that leads the catalogue\n',
		writeLines(controlRoles.listCatalogueLines(facts)),
		'### Control voter or learner that doesn\'t lead\n',
		`A learner does what a voter does, but for ${SIZE.controlHosts - 5} of ${SIZE.controlHosts} hosts it neither votes nor counts for a quorum.\n`,
		'Bytes of followed records are received, not sent.\n',
		writeLines(controlRoles.listFollowerLines(facts)),
		'### Leader of the records\n',
		'One group for the whole fleet today. Its memory is that of the claims\' table below.\n',
		writeLines(listRecordsLines(facts)),
		'### Directory\n',
		writeDirectory(facts),
	].join('\n');
}

function writeLines(lines: readonly shape.RoleLine[]): string {
	return writeTable(HEADS, lines.map(line => [
		line.what,
		line.mechanism,
		line.state,
		write(line.perSecond),
		line.isControl ? inBudget.bytes(line.cost.bytes) : writeBytes(line.cost.bytes, '/s'),
		line.isControl ? inBudget.core(line.cost.microseconds) : writeCore(line.cost.microseconds),
		line.isControl ? inBudget.memory(line.memoryBytes) : writeBytes(line.memoryBytes),
		line.isControl ? 'control' : 'requests',
	]));
}

/**
Sums what is measured of a control line; the lines that lack a figure are named.
*/
function writeSum(facts: Facts, lines: readonly shape.RoleLine[]): string {
	const control = lines.filter(line => line.isControl);
	const others = control.filter(line => line.what !== SUMMARIES);
	const total = (pick: (line: shape.RoleLine) => number | undefined) => sumMeasured(control.map(line => pick(line)));
	const lacking = control.filter(line => line.cost.bytes === undefined || line.cost.microseconds === undefined || line.memoryBytes === undefined);
	const bare = facts.bareNode.at(-1)?.residentBytes;
	const resident = facts.overhead && facts.overhead.residentMegabytes * 1e6;
	const table = writeTable(['control, one host', 'figure'], [
		['bytes/s sent', inBudget.bytes(total(line => line.cost.bytes))],
		['of a core', inBudget.core(total(line => line.cost.microseconds))],
		['bytes/s sent, without the summaries of detection', inBudget.bytes(sumMeasured(others.map(line => line.cost.bytes)))],
		['of a core, without the summaries of detection', inBudget.core(sumMeasured(others.map(line => line.cost.microseconds)))],
		['memory of the state', inBudget.memory(total(line => line.memoryBytes))],
		['whole process after a run near its greatest rate, resident (`npm run experiment -- overhead`)', writeBytes(resident)],
		[`bare Node process with an HTTP server after ${write(facts.bareNode.at(-1)?.requests as number)} requests, resident`, writeBytes(typeof bare === 'number' ? bare : undefined)],
		['bare Node process before the first request, resident', writeBytes(facts.bareNode[0]?.residentBytes as number | undefined)],
	]);
	return `${table}\nIn part not measured: ${lacking.length === 0 ? 'nothing' : lacking.map(line => line.what).join('; ')}.\n`;
}

function sumMeasured(values: ReadonlyArray<number | undefined>): number | undefined {
	return sum(values.filter(value => value !== undefined));
}

function writeDirectory(facts: Facts): string {
	const get = (column: string) => getAt(facts, 'assignment-directory', ['hosts', column], SIZE.hosts);
	return writeTable(['an answer to a caller', 'figure'], [
		['processor time, carriers fit', write(get('answerMicroseconds'), 'µs')],
		['processor time, no carrier fit: all hosts are looked at', write(get('withoutCarriersMicroseconds'), 'µs')],
		['bytes of the answer', writeBytes(get('answerBytes'))],
		['answers a second on one core, without HTTP', write(multiply(1e6, invert(get('answerMicroseconds'))))],
		['answers a second asked of the fleet (callers times services, each kept 5 s)', 'not known: the number of callers isn\'t given'],
		['state', 'the members and carriers of the entry host, nothing of its own'],
	]);
}

function invert(value: number | undefined): number | undefined {
	return value === undefined ? undefined : 1 / value;
}

/**
Writes what a message costs.
*/
export function writeMessages(facts: Facts): string {
	const ways = [
		['call over a connection that is open', 'call'],
		['notification that shares its request with no other', 'notification'],
		['call that opens its connection (TLS 1.2, pre-shared key)', 'connectingCall'],
		['datagram, with tag, IP and UDP headers', 'datagram'],
	] as const;
	const sizes = [50, 200, 1000];
	return writeTable(
		['message', ...sizes.map(size => `${size} bytes of content`), 'processor, both ends', 'the same, one of many'],
		ways.map(([name, way]) => [
			name,
			...sizes.map(size => writeBytes(getCost(facts, way, size).bytes)),
			write(getCost(facts, way, 200).microseconds, 'µs'),
			way === 'call' || way === 'notification' ? write(getBusyCost(facts, way, 200).microseconds, 'µs') : 'not measured',
		]),
	);
}
