/**
Comparison of a message's sender with its known record, and the correction sent to it where they differ.
*/
import type {Member} from './members.ts';
import type {Effect, Sender} from './messages.ts';
import {createMemberUpdate, sendMessage} from './sending.ts';
import type {MembershipState} from './state.ts';
import {parseAddress} from './wire.ts';

/**
Compares the sender of a message with its known record. A newer sender is asked for its record; one whose known record is
wrong receives that record, so that it can refute it. Without that, a host that restarted, or that was partitioned off
and declared dead, would stay unknown or dead.
*/
export function handleSender(state: MembershipState, sender: Sender): readonly Effect[] {
	const address = parseAddress(sender.peer);
	const known = state.table.members.get(sender.id);
	const tombstone = state.table.tombstones.get(sender.id);
	if (!known && tombstone && tombstone.incarnation >= sender.incarnation) {
		const {incarnation} = tombstone;
		return [sendMessage(state, address, {kind: 'gossip'}, [{kind: 'dead', id: sender.id, incarnation}])];
	}

	if (!known || sender.incarnation > known.incarnation) {
		return [sendMessage(state, address, {kind: 'fetch', ids: [sender.id]})];
	}

	const isUpToDate = sender.incarnation === known.incarnation
		&& sender.boot === known.boot
		&& known.state === 'alive';
	return isUpToDate ? recordProgress(state, known, sender) : [sendMessage(state, address, {kind: 'gossip'}, [createMemberUpdate(state, known)])];
}

function recordProgress(state: MembershipState, known: Member, sender: Sender): readonly Effect[] {
	const catalogueRevision = Math.max(known.catalogueRevision, sender.revision);
	if (catalogueRevision === known.catalogueRevision && sender.load === known.load) {
		return [];
	}

	const member: Member = {...known, catalogueRevision, load: sender.load};
	state.table.members.set(member.id, member);
	state.table.memberList = undefined;
	return catalogueRevision === known.catalogueRevision ? [] : [{kind: 'changed', member}];
}
