/**
Distributes the catalogue to every host within seconds, by gossip and anti-entropy.

A host that comes to a new revision notifies a few others at once; these fetch the changes from it and notify a few others in
turn. In addition, every host compares its revision with that of a random other host at an interval. A host that cannot reach
the control hosts, in one direction or both, still gets a change through any host that it can reach, and a host that restarts
without any control host running gets the catalogue from other entry hosts. A view is never replaced by an older one, so the
order of messages does not matter.
*/
import * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	CALL_TIMEOUT_MILLISECONDS,
	COMPARE_INTERVAL_MILLISECONDS,
	FIRST_COMPARE_INTERVAL_MILLISECONDS,
	REVISION_FANOUT,
} from './constants.ts';
import {getOtherMembers, getSeeds, type HostContext} from './context.ts';

/**
Sent as `catalogue.revision`: a revision in force, and the peer address of the host to fetch it from.
*/
type RevisionNotice = {
	readonly revision: catalogue.Revision;
	readonly address: core.Address;
};

/**
Distribution of the catalogue on one host.
*/
export type Distribution = {
	/**
	Resolves when this host has compared its catalogue with another host's, or knows no other host.
	*/
	readonly whenCompared: Promise<void>;
	readonly teardown: utils.Teardown;
};

/**
Starts the distribution. Registers the methods `catalogue.revision`, which receives a notice, `catalogue.delta`, which returns
the changes after a revision, and `catalogue.in-force`, which returns the revision in force.
*/
export function registerDistribution(context: HostContext): Distribution {
	const {peer, store} = context;
	const log = context.log('catalogue');
	let isFetching = false;
	let hasCompared = false;
	let pendingNotice: RevisionNotice | undefined;
	const {promise: whenCompared, resolve: resolveCompared} = Promise.withResolvers<void>();

	const getView = () => store.read(state => state.view);

	/**
	Fetches the changes of a notice. A notice that arrives during a fetch is followed after it: the fetched delta may be
	older, and this host would lack the newer revision until its next comparison.
	*/
	const fetchRevision = async (notice: RevisionNotice) => {
		if (isFetching) {
			pendingNotice = notice.revision > (pendingNotice?.revision ?? 0) ? notice : pendingNotice;
			return;
		}

		await fetchDelta(notice.address);
		const next = pendingNotice;
		pendingNotice = undefined;
		if (next !== undefined && next.revision > getView().revision) {
			await fetchRevision(next);
		}
	};

	const fetchDelta = async (address: core.Address) => {
		isFetching = true;
		const since = getView().revision;
		const answer = await peer.call(address, 'catalogue.delta', {since}, CALL_TIMEOUT_MILLISECONDS);
		isFetching = false;
		if (!answer.isOk()) {
			return;
		}

		applyDelta(context, answer.value as catalogue.Delta);
		hasCompared = true;
		resolveCompared();
	};

	const notifyOthers = () => {
		const others = utils.shuffle(context.random, getOtherMembers(context)).slice(0, REVISION_FANOUT);
		const notice: RevisionNotice = {revision: getView().revision, address: context.settings.peerAddress};
		for (const other of others) {
			peer.notify(other.peerAddress, 'catalogue.revision', notice);
		}
	};

	const compareWithRandomHost = () => {
		const others = getOtherMembers(context).map(member => member.peerAddress);
		const candidates = others.length > 0 ? others : getSeeds(context.settings);
		const chosen = candidates[utils.pickIndex(context.random, candidates.length)];
		if (chosen === undefined) {
			resolveCompared();
			return;
		}

		if (!isFetching) {
			void fetchRevision({revision: 0, address: chosen});
		}
	};

	compareWithRandomHost();
	const teardown = utils.mergeTeardowns(
		peer.registerMethod('catalogue.revision', (notice: RevisionNotice) => {
			if (notice.revision > getView().revision) {
				void fetchRevision(notice);
			}
		}),
		peer.registerMethod('catalogue.delta', ({since}: {since: catalogue.Revision}) => catalogue.getDelta(getView(), since)),
		peer.registerMethod('catalogue.in-force', () => ({revision: getView().revision})),
		store.registerUpdateListener((state, previous, dirty) => {
			if (!(dirty.has('view') && state.view.revision > previous.view.revision)) {
				return;
			}

			context.routes.applyViewChange(previous.view, state.view);
			log.info('A new revision of the catalogue is in force on this host.', {revision: state.view.revision});
			notifyOthers();
		}),
		context.commands.registerCommand('fetch-catalogue', notice => {
			void fetchRevision(notice);
			return true;
		}, 'normal'),
		context.repeat(COMPARE_INTERVAL_MILLISECONDS, compareWithRandomHost),
		context.repeat(FIRST_COMPARE_INTERVAL_MILLISECONDS, () => {
			// A host that has just started is notified of no change, because the others do not know it yet.
			if (!hasCompared) {
				compareWithRandomHost();
			}
		}),
	);
	return {whenCompared, teardown};
}

/**
Puts a delta in force, unless it brings nothing new.
*/
export function applyDelta(context: HostContext, delta: catalogue.Delta): void {
	context.store.update(state => createViewUpdate(state.view, catalogue.applyDelta(state.view, delta)));
}

/**
Puts a complete view in force, unless it is not newer than the present one.
*/
export function applyView(context: HostContext, view: catalogue.View): void {
	context.store.update(state => createViewUpdate(state.view, view));
}

function createViewUpdate(present: catalogue.View, next: catalogue.View) {
	return next.revision <= present.revision ? {} : {view: next};
}
