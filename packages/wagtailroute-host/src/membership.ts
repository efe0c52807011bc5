/**
Membership on this host: which hosts of the fleet run, kept in the host's state.
*/
import * as util from 'node:util';
import * as timers from 'node:timers/promises';
import type * as core from 'wagtailroute-core';
import * as membership from 'wagtailroute-membership';
import * as utils from 'wagtailroute-utils';
import {LEAVE_GOSSIP_MILLISECONDS, MEMBERSHIP_TICK_INTERVAL_MILLISECONDS} from './constants.ts';
import {getSeeds, type HostContext, type Member} from './context.ts';
import {runMachine} from './events.ts';
import type {HostRole} from './settings.ts';

/**
Membership on a host.
*/
export type Membership = {
	/**
	Tells the others that this host soon refuses requests.
	*/
	readonly drain: () => void;
	/**
	Says whether a host answers this one only by way of others.
	*/
	readonly hasPathFault: (host: core.HostId) => boolean;
	/**
	Tells the others that this host stops, and stops taking part.
	*/
	readonly leave: () => Promise<void>;
};

const METHOD = 'membership';
const SEQUENCE_RANGE = 2 ** 30;

/**
Starts the part.
*/
export function startMembership(context: HostContext): Membership {
	const {settings, peer, store} = context;
	const log = context.log('membership');

	const machine = runMachine<membership.MembershipState, membership.Event, membership.Effect>({
		initial: membership.createMembership({
			self: {
				id: settings.hostId,
				boot: context.boot,
				peerAddress: settings.peerAddress,
				trafficAddress: settings.trafficAddress,
				adminAddress: settings.adminAddress,
				failureDomain: settings.failureDomain,
				region: settings.region,
				roles: settings.roles,
			},
			seeds: getSeeds(settings),
			firstSequence: utils.pickIndex(context.random, SEQUENCE_RANGE),
		}),
		step: membership.stepMembership,
		circumstances: () => ({now: context.now(), random: context.random}),
		onDefect: context.fail,
		handlers: {
			send({to, message}) {
				peer.sendDatagram(to, METHOD, message);
			},
			changed({member}) {
				if (member.catalogueRevision > store.read(state => state.view.revision)) {
					context.commands.dispatchCommand('fetch-catalogue', {address: member.peerAddress, revision: member.catalogueRevision});
				}

				// A new revision alone changes the record of every host of the fleet: copying the table for each would cost
				// a large fleet more than all else in its control.
				const previous = store.read(state => state.members.get(member.id));
				const current = toMember(member);
				if (previous !== undefined && util.isDeepStrictEqual(previous, current)) {
					return;
				}

				logChange(context, member);
				store.update(state => ({members: new Map(state.members).set(member.id, current)}));
			},
			forgotten({id}) {
				store.update(state => {
					const members = new Map(state.members);
					members.delete(id);
					return {members};
				});
			},
		},
	});

	const self = membership.getSelf(machine.read());
	store.update(state => ({members: new Map(state.members).set(self.id, toMember(self))}));
	const teardown = utils.mergeTeardowns(
		peer.registerDatagramHandler((method, message) => {
			if (method === METHOD) {
				machine.send({kind: 'receive', message: message as membership.Message});
			}
		}),
		store.registerUpdateListener((state, _previous, dirty) => {
			if (dirty.has('view')) {
				machine.send({kind: 'update-self', catalogueRevision: state.view.revision});
			}
		}),
		context.repeat(MEMBERSHIP_TICK_INTERVAL_MILLISECONDS, () => {
			machine.send({kind: 'tick'});
		}),
	);
	log.info('Membership started.', {seeds: getSeeds(settings).length});

	return {
		hasPathFault: host => membership.hasPathFault(machine.read(), host),
		drain() {
			machine.send({kind: 'update-self', draining: true});
		},
		async leave() {
			machine.send({kind: 'leave'});
			// The news travels with the messages of the next ticks.
			await timers.setTimeout(LEAVE_GOSSIP_MILLISECONDS);
			teardown();
			machine.stop();
		},
	};
}

function logChange(context: HostContext, member: membership.Member): void {
	const previous = context.store.read(state => state.members.get(member.id));
	if (previous?.state !== member.state || previous.draining !== member.draining) {
		context.log('membership').info('Host changed.', {id: member.id, state: member.state, draining: member.draining});
	}
}

function toMember(member: membership.Member): Member {
	return {
		id: member.id,
		failureDomain: member.failureDomain,
		region: member.region,
		roles: member.roles as readonly HostRole[],
		trafficAddress: member.trafficAddress,
		adminAddress: member.adminAddress,
		peerAddress: member.peerAddress,
		state: member.state,
		draining: member.draining,
		boot: member.boot,
	};
}
