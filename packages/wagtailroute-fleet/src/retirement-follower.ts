/**
Keeps the retirements of upstreams that a host knows as complete as those of any control host it is linked to.

A retirement that was confirmed binds every host, but a single control host may not know it: its replica is cut off from the leader, catches up, or can't be opened. A host
that has started, or whose link was lost when a retirement was announced, would depend on the one control host whose instances it follows. Therefore each control host tells
the log index of its last retirement when a link opens and with each announcement, and a host that is behind fetches what it lacks.
*/
import type * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import type * as link from 'wagtailroute-link';
import {FETCH_RETRY_DELAY_MILLISECONDS, RETIREMENT_FETCH_TIMEOUT_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import {METHODS, type RetirementChanges, type RetirementFetch} from './messages.ts';

/**
Follows the retirements of all linked control hosts.
*/
export type RetirementFollower = {
	/**
	Records the log index of the last retirement that a control host knows, and fetches what is missing.
	*/
	readonly recordIndex: (control: link.Link, index: number) => void;
	/**
	Applies an announcement. Without the retirements before it, those are fetched.
	*/
	readonly applyChanges: (control: link.Link, changes: RetirementChanges) => void;
};

/**
Creates the follower of a host that knows no retirement.

@param apply Applies retirements; those already applied may be among them.
*/
export function createRetirementFollower(
	context: Pick<FleetContext, 'logs' | 'metrics' | 'schedule'>,
	apply: (retirements: readonly generations.Retirement[]) => void,
): RetirementFollower {
	const {logs, schedule} = context;
	const onDefect = createDefectHandler(context, 'retirement-fetch');
	/**
	Log index up to which this host knows all retirements.
	*/
	let knownIndex = 0;
	let isFetching = false;
	/**
	Links to control hosts that know more, with the log index that each told last.
	*/
	const sources = new Map<link.Link, number>();

	const findSource = () => {
		for (const [control, index] of sources) {
			if (index <= knownIndex || !control.isOpen()) {
				sources.delete(control);
			}
		}

		return sources.entries().next().value;
	};

	const fetchMissing = async () => {
		const source = isFetching ? undefined : findSource();
		if (source === undefined) {
			return;
		}

		const [control, toldIndex] = source;
		isFetching = true;
		const parameters: RetirementFetch = {after: knownIndex};
		const answer = await control.call(METHODS.fetchRetirements, parameters, RETIREMENT_FETCH_TIMEOUT_MILLISECONDS);
		isFetching = false;
		if (answer.isOk()) {
			const {retirements, after, index} = answer.value as RetirementChanges;
			logs('retirements').info('Missed retirements were fetched.', {
				retirements: retirements.length, after, index, toldIndex,
			});
			apply(retirements);
			knownIndex = Math.max(knownIndex, index);
			if (index < toldIndex) {
				// Its replica has been opened anew since.
				sources.delete(control);
			}

			startFetching();
			return;
		}

		retryElsewhere(control);
	};

	const retryElsewhere = (control: link.Link) => {
		moveToEnd(sources, control);
		schedule(FETCH_RETRY_DELAY_MILLISECONDS, startFetching);
	};

	const startFetching = () => {
		const control = isFetching ? undefined : findSource()?.[0];
		if (control === undefined) {
			return;
		}

		utils.runDetached(fetchMissing, error => {
			onDefect(error);
			isFetching = false;
			retryElsewhere(control);
		});
	};

	const recordIndex = (control: link.Link, index: number) => {
		if (!(index > knownIndex)) {
			return;
		}

		sources.set(control, index);
		startFetching();
	};

	return {
		recordIndex,
		applyChanges(control, {retirements, after, index}) {
			apply(retirements);
			if (after <= knownIndex) {
				knownIndex = Math.max(knownIndex, index);
			}

			recordIndex(control, index);
		},
	};
}

function moveToEnd<Key, Value>(map: Map<Key, Value>, key: Key): void {
	const value = map.get(key);
	if (map.delete(key)) {
		map.set(key, value!);
	}
}
