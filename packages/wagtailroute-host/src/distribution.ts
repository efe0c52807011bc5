/**
Brings the catalogue to every host within seconds.

A host that comes to a new revision tells a few others at once, which fetch what they lack from it and tell a few in turn;
and every host compares its revision with a random other one now and then. So a host that is cut off from the control
hosts, in one direction or both, still gets a change through any host that it can talk to, and a host that restarts while
all control hosts are gone gets the catalogue from its neighbours. Views only move forward, whoever is heard first.
*/
import * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	CALL_MILLISECONDS,
	COMPARE_MILLISECONDS,
	FIRST_COMPARE_MILLISECONDS,
	REVISION_FANOUT,
} from './constants.ts';
import {getOtherMembers, type HostContext} from './context.ts';

type RevisionNotice = {
	readonly revision: catalogue.Revision;
	readonly address: core.Address;
};

/**
Registers the part. Its methods: `catalogue.revision` tells a revision, `catalogue.delta` returns what a host lacks,
`catalogue.in-force` returns the revision in force.
*/
export function registerDistribution(context: HostContext): utils.Teardown {
	const {peer, store} = context;
	const log = context.log('catalogue');
	let isFetching = false;
	let hasCompared = false;

	const getView = () => store.read(state => state.view);

	const fetchFrom = async (address: core.Address) => {
		if (isFetching) {
			return;
		}

		isFetching = true;
		const since = getView().revision;
		const answer = await peer.call(address, 'catalogue.delta', {since}, CALL_MILLISECONDS);
		isFetching = false;
		hasCompared ||= answer.isOk();
		if (answer.isOk()) {
			applyDelta(context, answer.value as catalogue.Delta);
		}
	};

	const tellOthers = () => {
		const others = utils.shuffle(context.random, getOtherMembers(context)).slice(0, REVISION_FANOUT);
		const notice: RevisionNotice = {revision: getView().revision, address: context.settings.peerAddress};
		for (const other of others) {
			peer.notify(other.peerAddress, 'catalogue.revision', notice);
		}
	};

	const compare = () => {
		const others = getOtherMembers(context).map(member => member.peerAddress);
		const candidates = others.length > 0 ? others : context.settings.seeds;
		const chosen = candidates[utils.pickIndex(context.random, candidates.length)];
		if (chosen !== undefined) {
			void fetchFrom(chosen);
		}
	};

	return utils.mergeTeardowns(
		peer.registerMethod('catalogue.revision', (notice: RevisionNotice) => {
			if (notice.revision > getView().revision) {
				void fetchFrom(notice.address);
			}
		}),
		peer.registerMethod('catalogue.delta', ({since}: {since: catalogue.Revision}) => catalogue.getDelta(getView(), since)),
		peer.registerMethod('catalogue.in-force', () => ({revision: getView().revision})),
		store.registerUpdateListener((state, previous, dirty) => {
			if (!(dirty.has('view') && state.view.revision > previous.view.revision)) {
				return;
			}

			context.routes.follow(previous.view, state.view);
			log.info('Catalogue in force.', {revision: state.view.revision});
			tellOthers();
		}),
		context.commands.registerCommand('fetch-catalogue', ({address}) => {
			void fetchFrom(address);
			return true;
		}, 'normal'),
		context.repeat(COMPARE_MILLISECONDS, compare),
		context.repeat(FIRST_COMPARE_MILLISECONDS, () => {
			// Nobody tells a host that has just started of a change: the others do not know it yet.
			if (!hasCompared) {
				compare();
			}
		}),
	);
}

/**
Takes a delta into force, unless it brings nothing new.
*/
export function applyDelta(context: HostContext, delta: catalogue.Delta): void {
	context.store.update(state => createViewUpdate(state.view, catalogue.applyDelta(state.view, delta)));
}

/**
Takes a whole view into force, unless it is older than the present one.
*/
export function applyView(context: HostContext, view: catalogue.View): void {
	context.store.update(state => createViewUpdate(state.view, view));
}

function createViewUpdate(present: catalogue.View, next: catalogue.View) {
	return next.revision <= present.revision ? {} : {view: next};
}
