/**
Shape of a role's table, and what the size to design for makes of one host.
*/
import * as records from '../../packages/wagtailroute-records/src/index.ts';
import type {Cost} from './costs.ts';
import {DAY_SECONDS, SIZE} from './size.ts';

/**
One thing that a role does or keeps. Rates a second and host; cost a second: bytes sent, microseconds of a core.
*/
export type RoleLine = {
	readonly what: string;
	readonly mechanism: string;
	readonly state: string;
	readonly perSecond?: number;
	readonly cost: Cost;
	readonly memoryBytes?: number;
	/**
	Counts against the budget for control; otherwise it is part of serving requests.
	*/
	readonly isControl: boolean;
};

/**
Carriers of a service, services of a host and its other carriers, at full size.
*/
export const CARRIERS = 6;
export const SERVICES_PER_HOST = SIZE.services * CARRIERS / SIZE.hosts;
export const UPSTREAMS_PER_SERVICE = SIZE.upstreams / SIZE.services;
export const CHANGES_PER_SECOND = SIZE.changesPerDay / DAY_SECONDS;
export const RESTARTS_PER_SECOND = SIZE.restartsPerDay / DAY_SECONDS;

/**
Calls that a question to the leader takes: the first goes to any control host, which names the leader.
*/
export const CALLS_TO_LEADER = 2 - (1 / SIZE.controlHosts);

/**
Milliseconds in a second.
*/
export const SECOND = 1000;

/**
Bytes around the content of a notification in the benches.
*/
export const ENVELOPE_BYTES = 60;

const NAME: records.RecordId = {
	service: 'service-1234', organisation: 'organisation-123456', key: '6f1c2e0a-7d0b-4a55-9f1e-2b8f0c3d4e5f',
};
const ATTEMPT = 'b0a4c1d2-3e4f-4a5b-8c6d-7e8f9a0b1c2d';

const CLAIM: records.Claim = {
	...NAME,
	digest: 'x'.repeat(43),
	attempt: ATTEMPT,
	host: 'entry-1234',
	bootId: ATTEMPT,
	budgetMilliseconds: 10_000,
};

const SETTLEMENT: records.Settlement = {
	...NAME, attempt: ATTEMPT, ending: {kind: 'ran', answer: {status: 200, headers: [], body: 'x'.repeat(200)}},
};

/**
Bytes of a claim and of a settlement with an answer of 200 bytes, as a host sends them.
*/
export const CLAIM_BYTES = getCommandBytes('claim', CLAIM);
export const SETTLEMENT_BYTES = getCommandBytes('settle', SETTLEMENT);

function getCommandBytes(name: records.CommandName, payload: unknown): number {
	return JSON.stringify({group: 'records', command: {name, stampedAt: 0, payload}}).length;
}

/**
Seconds between two renewals of the shares of a host whose shares are used.
*/
export const SHARE_SECONDS = records.SHARE_LEASE_MILLISECONDS / 3 / SECOND;

/**
Claims of keyed requests a second of one host.
*/
export const CLAIMS_PER_SECOND = SIZE.requestsPerSecond * SIZE.keyedShare / SIZE.hosts;

/**
Other hosts that carry a service which a host carries, when carriers are drawn evenly.
*/
export const PEERS = (SIZE.hosts - 1) * (1 - ((1 - ((CARRIERS - 1) / (SIZE.hosts - 1))) ** SERVICES_PER_HOST));

/**
Bytes of a question that names the versions of all services of a host.
*/
export function getVersionsBytes(): number {
	const versions = Object.fromEntries(Array.from({length: Math.round(SERVICES_PER_HOST)}, (_, index) => [`service-${1000 + index}`, 0]));
	return JSON.stringify({versions}).length;
}
