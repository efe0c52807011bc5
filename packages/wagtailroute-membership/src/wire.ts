/**
Conversion of records to and from their form on the wire.
*/
import * as core from 'wagtailroute-core';
import type {Member} from './members.ts';
import type {Sender, Update, WireRecord} from './messages.ts';

// The load is sent in steps of 1/100.
const LOAD_SCALE = 100;

/**
Encodes a host's record.
*/
export function encodeRecord(member: Member): WireRecord {
	return {
		id: member.id,
		boot: member.boot,
		incarnation: member.incarnation,
		peer: core.formatAddress(member.peerAddress),
		traffic: core.formatAddress(member.trafficAddress),
		admin: core.formatAddress(member.adminAddress),
		domain: member.failureDomain,
		region: member.region,
		roles: member.roles.join(','),
		revision: member.catalogueRevision,
		...member.draining && {draining: true},
		...member.load !== undefined && {load: roundLoad(member.load)},
	};
}

/**
Decodes a host's record. Its state is alive: other states are sent without a record.
*/
export function decodeRecord(record: WireRecord): Member {
	return {
		id: record.id,
		boot: record.boot,
		incarnation: record.incarnation,
		peerAddress: parseAddress(record.peer),
		trafficAddress: parseAddress(record.traffic),
		adminAddress: parseAddress(record.admin),
		failureDomain: record.domain,
		region: record.region,
		roles: record.roles === '' ? [] : record.roles.split(','),
		state: 'alive',
		draining: record.draining ?? false,
		catalogueRevision: record.revision,
		load: record.load,
	};
}

/**
Encodes the sender of a message.
*/
export function encodeSender(member: Member): Sender {
	return {
		id: member.id,
		boot: member.boot,
		incarnation: member.incarnation,
		peer: core.formatAddress(member.peerAddress),
		revision: member.catalogueRevision,
		...member.load !== undefined && {load: roundLoad(member.load)},
	};
}

/**
Encodes a record as an update; `by` is the host that suspects it, if its state is suspect.
*/
export function encodeUpdate(member: Member, by: core.HostId): Update {
	const {id, incarnation, state} = member;
	if (state === 'alive') {
		return {kind: 'alive', record: encodeRecord(member)};
	}

	return state === 'suspect'
		? {
			kind: 'suspect',
			id,
			incarnation,
			by,
		}
		: {kind: state, id, incarnation};
}

/**
Parses `ip:port`, with brackets around an IPv6 address.
*/
export function parseAddress(text: string): core.Address {
	const colonIndex = text.lastIndexOf(':');
	return {
		ip: text.slice(0, colonIndex).replaceAll(/[\[\]]/gv, ''),
		port: Number(text.slice(colonIndex + 1)),
	};
}

function roundLoad(load: number): number {
	return Math.round(load * LOAD_SCALE) / LOAD_SCALE;
}
