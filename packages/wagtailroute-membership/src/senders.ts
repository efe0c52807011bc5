/**
What every message tells of its sender, and what the sender is told when others take it for something else.
*/
import type {Member} from './members.ts';
import type {Effect, Sender} from './messages.ts';
import {describeMember, sendWith} from './sending.ts';
import type {MembershipState} from './state.ts';
import {parseAddress} from './wire.ts';

/**
Takes what a message tells of its sender. A sender that others take for something else than it is gets told, so that it
can object; without that, a host that restarted, or that was cut off and taken for dead, would stay unknown or dead.
*/
export function takeSender(state: MembershipState, sender: Sender): readonly Effect[] {
	const address = parseAddress(sender.peer);
	const known = state.table.members.get(sender.id);
	const tombstone = state.table.tombstones.get(sender.id);
	if (!known && tombstone && tombstone.incarnation >= sender.incarnation) {
		const {incarnation} = tombstone;
		return [sendWith(state, address, {kind: 'gossip'}, [{kind: 'dead', id: sender.id, incarnation}])];
	}

	if (!known || sender.incarnation > known.incarnation) {
		return [sendWith(state, address, {kind: 'fetch', ids: [sender.id]})];
	}

	const isKnownWell = sender.incarnation === known.incarnation
		&& sender.boot === known.boot
		&& known.state === 'alive';
	return isKnownWell ? noteProgress(state, known, sender) : [sendWith(state, address, {kind: 'gossip'}, [describeMember(state, known)])];
}

function noteProgress(state: MembershipState, known: Member, sender: Sender): readonly Effect[] {
	const catalogueRevision = Math.max(known.catalogueRevision, sender.revision);
	if (catalogueRevision === known.catalogueRevision && sender.load === known.load) {
		return [];
	}

	const member: Member = {...known, catalogueRevision, load: sender.load};
	state.table.members.set(member.id, member);
	state.table.list = undefined;
	return catalogueRevision === known.catalogueRevision ? [] : [{kind: 'changed', member}];
}
