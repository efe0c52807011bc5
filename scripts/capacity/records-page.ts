/**
The part of the page on idempotency records and the limits of their one leader.
*/
import * as hostTimes from '../../packages/wagtailroute-host/src/constants.ts';
import * as records from '../../packages/wagtailroute-records/src/index.ts';
import * as recordTimes from '../../packages/wagtailroute-records/src/constants.ts';
import * as replicationTimes from '../../packages/wagtailroute-replication/src/constants.ts';
import {
	FLEET_CLAIMS,
	getCallEndMicroseconds,
	getClaimMicroseconds,
	LEADER_CALLS,
	listRecordsLines,
} from './records-roles.ts';
import {multiply, sum} from './costs.ts';
import {type Facts, getRows} from './facts.ts';
import {DAY_SECONDS, SIZE} from './size.ts';
import {
	mark,
	write,
	writeBytes,
	writeTable,
} from './tables.ts';

const SECOND = 1000;
const COPIES = 3;

/**
Writes what the one group of records can hold, against what the size asks for.
*/
export function writeRecords(facts: Facts): string {
	const recordBytes = getRows(facts, 'records-claims')?.at(-1)?.['snapshot bytes a record'];
	const each = typeof recordBytes === 'number' ? recordBytes : undefined;
	const retention = recordTimes.RECORD_RETENTION_MILLISECONDS / SECOND;
	const held = FLEET_CLAIMS * retention;
	const most = recordTimes.MAX_RECORDS;
	const snapshot = multiply(most, each);
	const perRequest = sum([multiply(2, getCallEndMicroseconds(facts)), getClaimMicroseconds(facts)]);
	const others = sum(listRecordsLines(facts).filter(line => line.isControl).map(line => line.cost.microseconds));
	const left = others === undefined ? undefined : Math.max(0, 1e6 - others);
	const leaders = multiply(FLEET_CLAIMS / 1e6, perRequest);
	return [
		'## Records: what one leader holds\n',
		writeTable(['matter', 'at full size', 'what there is'], [
			[
				`keyed requests a second (${SIZE.keyedShare * 100}% of ${SIZE.requestsPerSecond.toLocaleString('en')}, an assumption)`,
				mark(write(FLEET_CLAIMS), FLEET_CLAIMS, most / retention),
				`${write(most / retention)} a second fill the ${most.toLocaleString('en')} records of a cell in their retention of ${retention / 3600} h`,
			],
			['records held', mark(write(held), held, most), most.toLocaleString('en')],
			['bytes of them, as JSON', writeBytes(multiply(held, each)), `${write(each)} bytes a record`],
			[
				`the same, on each of ${SIZE.controlHosts} hosts, three copies of each`,
				writeBytes(multiply(held * COPIES / SIZE.controlHosts, each)),
				'all in memory today',
			],
			[
				'snapshot of a full cell',
				mark(writeBytes(snapshot), snapshot, replicationTimes.MAX_SNAPSHOT_BYTES),
				`${writeBytes(replicationTimes.MAX_SNAPSHOT_BYTES)}: a larger state isn't compacted`,
			],
			[
				'leader\'s processor time for a keyed request: two calls, one claim, one settlement; without replication',
				write(perRequest, 'µs'),
				`${write(multiply(1e6, perRequest === undefined ? undefined : 1 / perRequest))} a second on one core`,
			],
			['leaders that the claims need, one core each, without replication', mark(write(leaders), leaders, SIZE.controlHosts), `${SIZE.controlHosts} hosts`],
			[
				'calls to the leader apart from claims (shares, ejection tables)',
				`${write(LEADER_CALLS)}/s`,
				`${write(multiply(1e-4, others), '% of a core')}, ${write(multiply(1e-4, left), '% left for claims')}`,
			],
			['the keys of a day, at the rate one leader has room for', write(multiply(DAY_SECONDS, perRequest === undefined || left === undefined ? undefined : left / perRequest)), 'records'],
		]),
		[
			`Shares are renewed every ${(records.SHARE_LEASE_MILLISECONDS / 3 / SECOND).toFixed(1)} s,`,
			`ejection tables read every ${hostTimes.EJECTION_POLL_INTERVAL_MILLISECONDS / SECOND} s,`,
			`suspect requests asked for every ${hostTimes.SUSPECT_POLL_INTERVAL_MILLISECONDS / SECOND} s by each host;`,
			'tables and suspects hardly ever change, the questions are asked all the same.\n',
		].join(' '),
	].join('\n');
}
