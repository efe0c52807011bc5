/**
Fetches the newest generation that any control host has reported.

It comes from a control host of the own failure domain if possible, since each host fetches it once, and traffic between failure domains costs. One that does not answer soon
may be busy, frozen or cut off: another one is then asked as well, since a generation that was confirmed binds this host within seconds.
*/
import type * as core from 'wagtailroute-core';
import * as generations from 'wagtailroute-generations';
import * as utils from 'wagtailroute-utils';
import {
	FAR_FETCH_DELAY_MILLISECONDS,
	FETCH_HEDGE_DELAY_MILLISECONDS,
	FETCH_RETRY_DELAY_MILLISECONDS,
	FETCH_TIMEOUT_MILLISECONDS,
	MAX_CONCURRENT_FETCHES,
} from './constants.ts';
import type {FleetContext} from './context.ts';
import {createDefectHandler} from './defects.ts';
import type {LinkedHost} from './control-links.ts';
import {type FetchedGeneration, type GenerationFetch, METHODS} from './messages.ts';

/**
Follows the versions that control hosts report.
*/
export type GenerationFetcher = {
	/**
	Records the generation version that a control host has, and fetches the generation if it is newer than this host's.
	*/
	readonly recordVersion: (control: LinkedHost, version: number) => void;
	readonly handleControlHostLost: (control: LinkedHost) => void;
};

/**
Collaborators of a fetcher.
*/
export type GenerationFetcherOptions = {
	readonly failureDomain: core.FailureDomain;
	readonly getControlHosts: () => readonly LinkedHost[];
	/**
	Returns the version that this host has in force, 0 for none.
	*/
	readonly getVersion: () => number;
	/**
	Puts a generation in force unless this host has a newer one.
	*/
	readonly apply: (generation: generations.Generation) => void;
};

/**
Creates the fetcher of a host to which no control host has reported a version.
*/
export function createGenerationFetcher(context: Pick<FleetContext, 'random' | 'schedule' | 'logs' | 'metrics'>, options: GenerationFetcherOptions): GenerationFetcher {
	const {random, schedule} = context;
	const onDefect = createDefectHandler(context, 'generation-fetch');
	let newestVersion = 0;
	/**
	Control hosts that have reported the newest version; those that have failed to send it since; and those that were asked and have not answered.
	*/
	const holders = new Set<core.HostId>();
	const failedHolders = new Set<core.HostId>();
	const askedHolders = new Set<core.HostId>();

	const isBehind = () => newestVersion > options.getVersion();

	const isNear = (control: LinkedHost) => control.host.failureDomain === options.failureDomain;

	const chooseSource = (): LinkedHost | undefined => {
		const available = options.getControlHosts().filter(({host}) => holders.has(host.id) && !askedHolders.has(host.id));
		if (available.every(({host}) => failedHolders.has(host.id))) {
			failedHolders.clear();
		}

		const candidates = available.filter(({host}) => !failedHolders.has(host.id));
		return candidates.find(control => isNear(control)) ?? candidates[Math.floor(random() * candidates.length)];
	};

	const ask = async (source: LinkedHost): Promise<generations.Generation | null> => {
		const parameters: GenerationFetch = {isEncoded: true};
		const answer = await source.link.call(METHODS.fetchGeneration, parameters, FETCH_TIMEOUT_MILLISECONDS);
		return answer.isOk() ? getGeneration(answer.value as FetchedGeneration) : null;
	};

	const fetchGeneration = async () => {
		const source = isBehind() ? chooseSource() : undefined;
		if (source === undefined) {
			return;
		}

		const {id} = source.host;
		askedHolders.add(id);
		const cancelHedge: utils.Teardown = schedule(FETCH_HEDGE_DELAY_MILLISECONDS, () => {
			if (askedHolders.size < MAX_CONCURRENT_FETCHES) {
				startFetching();
			}
		});
		try {
			const generation = await ask(source);
			if (generation !== null) {
				options.apply(generation);
			}
		} finally {
			cancelHedge();
			askedHolders.delete(id);
			if (isBehind()) {
				failedHolders.add(id);
				schedule(FETCH_RETRY_DELAY_MILLISECONDS, fetchUnlessAsked);
			}
		}
	};

	const startFetching = () => {
		utils.runDetached(fetchGeneration, onDefect);
	};

	const fetchUnlessAsked = () => {
		if (askedHolders.size === 0) {
			startFetching();
		}
	};

	return {
		recordVersion(control, version) {
			if (version < newestVersion || version <= options.getVersion()) {
				return;
			}

			if (version > newestVersion) {
				newestVersion = version;
				holders.clear();
				failedHolders.clear();
			}

			holders.add(control.host.id);
			if (isNear(control)) {
				fetchUnlessAsked();
			} else {
				schedule(FAR_FETCH_DELAY_MILLISECONDS, fetchUnlessAsked);
			}
		},
		handleControlHostLost({host}) {
			holders.delete(host.id);
		},
	};
}

/**
Returns the generation of an answer. A control host of an older build answers in the plain form.
*/
function getGeneration({encodedGeneration, generation}: FetchedGeneration): generations.Generation | null {
	return typeof encodedGeneration === 'string' ? generations.decodeGeneration(encodedGeneration) : generation ?? null;
}
