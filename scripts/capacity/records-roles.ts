/**
What the leader of the records does for the whole fleet at the size to design for, as the records are today: one group.
*/
import {
	add,
	getBusyCost,
	multiply,
	sum,
	times,
} from './costs.ts';
import {
	FLEET_POLLS,
	FLEET_RENEWALS,
	getEntryOverhead,
	getLeaderMicroseconds,
	getMessagesMicroseconds,
	getRenewalBytes,
	ONE_END,
} from './control-roles.ts';
import {type Facts, getRows} from './facts.ts';
import {
	CLAIM_BYTES,
	CLAIMS_PER_SECOND,
	getVersionsBytes,
	type RoleLine,
	SERVICES_PER_HOST,
	SETTLEMENT_BYTES,
} from './shape.ts';
import {SIZE} from './size.ts';
import {at, fit} from './slopes.ts';

/**
Claims of the whole fleet a second.
*/
export const FLEET_CLAIMS = CLAIMS_PER_SECOND * SIZE.hosts;

/**
Lists what the leader of the records does for the whole fleet, as the records are today: one group.
*/
export function listRecordsLines(facts: Facts): readonly RoleLine[] {
	const renewal = getRenewalBytes(facts);
	const applied = at(fit(facts.shares, 'services', 'microseconds'), SERVICES_PER_HOST);
	return [
		{
			what: 'renewals of shares',
			mechanism: 'host `share-leases.ts`, records `shares.ts`, replication; each command alone, messages in batches (at least)',
			state: `${SIZE.services} limits`,
			perSecond: FLEET_RENEWALS,
			cost: add(
				times(FLEET_RENEWALS * ONE_END, renewal === undefined ? {} : getBusyCost(facts, 'call', renewal)),
				{
					bytes: multiply(FLEET_RENEWALS, getReplicatedBytes(facts, renewal)),
					microseconds: multiply(FLEET_RENEWALS, sum([applied, getLeaderMicroseconds(facts), getMessagesMicroseconds(facts)])),
				},
			),
			memoryBytes: undefined,
			isControl: true,
		},
		{
			what: 'reads of the ejection tables, each confirmed by a quorum',
			mechanism: 'host `ejection-tables.ts`, replication `readBarrier`; the rounds themselves are not counted',
			state: `${SIZE.services} tables`,
			perSecond: FLEET_POLLS,
			cost: times(FLEET_POLLS * ONE_END, getBusyCost(facts, 'call', getVersionsBytes())),
			memoryBytes: undefined,
			isControl: true,
		},
		{
			what: 'claims and settlements of keyed requests',
			mechanism: 'host `claims.ts`, records `claims.ts`; processor time without replication',
			state: 'one record a key, for 24 h',
			perSecond: FLEET_CLAIMS * 2,
			cost: add(
				times(FLEET_CLAIMS * ONE_END, add(getBusyCost(facts, 'call', CLAIM_BYTES), getBusyCost(facts, 'call', SETTLEMENT_BYTES))),
				{
					bytes: multiply(FLEET_CLAIMS, sum([getReplicatedBytes(facts, CLAIM_BYTES), getReplicatedBytes(facts, SETTLEMENT_BYTES)])),
					microseconds: multiply(FLEET_CLAIMS, getClaimMicroseconds(facts)),
				},
			),
			memoryBytes: undefined,
			isControl: false,
		},
	];
}

/**
Microseconds of applying a claim and its settlement, in a full table.
*/
export function getClaimMicroseconds(facts: Facts): number | undefined {
	const value = getRows(facts, 'records-claims')?.at(-1)?.['microseconds each'];
	return typeof value === 'number' ? value : undefined;
}

/**
Microseconds of one call at one of its ends, with the content of a claim.
*/
export function getCallEndMicroseconds(facts: Facts): number | undefined {
	return multiply(ONE_END, getBusyCost(facts, 'call', CLAIM_BYTES).microseconds);
}

function getReplicatedBytes(facts: Facts, content: number | undefined): number | undefined {
	return multiply(SIZE.controlHosts - 1, sum([content, getEntryOverhead(facts)]));
}

/**
Calls to the leader that are not claims, a second.
*/
export const LEADER_CALLS = FLEET_RENEWALS + FLEET_POLLS;
