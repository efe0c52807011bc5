/**
Requests that may crash backend servers, as known on this host, and requests that a backend server survived.

The status of a request of a service without suspects costs one map access. Memory is bounded: the records bound the number
of suspects, and survivals are kept in two generations of which the older one is dropped.
*/
import type * as core from 'wagtailroute-core';
import type * as records from 'wagtailroute-records';
import type {SuspectsAnswer, SuspectChange} from './quarantine-updates.ts';

/**
The suspects of all services.
*/
export type Suspects = {
	readonly getQuarantineStatus: (service: core.ServiceName, fingerprint: string, now: number) => 'free' | 'suspect' | 'quarantined';
	/**
	Marks a request as suspect after a crash that this host saw, until the records say more.
	*/
	readonly addLocalSuspect: (service: core.ServiceName, fingerprint: string, until: number) => void;
	/**
	Removes the entry of a request that the records know nothing of.
	*/
	readonly clear: (service: core.ServiceName, fingerprint: string) => void;
	/**
	Applies a change pushed by the leader. Older versions are ignored.
	*/
	readonly applyChange: (change: SuspectChange, now: number) => void;
	/**
	Replaces the suspects of the services whose version in the answer is newer.
	*/
	readonly replaceSuspects: (answer: SuspectsAnswer, now: number) => void;
	/**
	Returns the versions of the services that this host has served.
	*/
	readonly getVersions: () => Readonly<Record<core.ServiceName, number>>;
	readonly getVersion: (service: core.ServiceName) => number;
	/**
	Records that a server survived the request.
	*/
	readonly recordSurvival: (service: core.ServiceName, fingerprint: string) => void;
	/**
	Returns whether a server survived the request since it was last in flight at a crash, and forgets the survival.
	*/
	readonly consumeSurvival: (service: core.ServiceName, fingerprint: string) => boolean;
	/**
	Drops the older generation of survivals: they say little of the present state of a server.
	*/
	readonly rotateSurvivals: () => void;
	readonly removeService: (service: core.ServiceName) => void;
};

type SuspectEntry = {readonly standing: Exclude<records.QuarantineStatus, 'cleared'>; readonly until: number};

type ServiceSuspects = {
	version: number;
	entries: Map<string, SuspectEntry>;
	recentSurvivals: Set<string>;
	olderSurvivals: Set<string>;
};

/**
Survivals in one generation.
*/
const MAX_SURVIVALS = 4096;

/**
Creates an empty table. It is changed in place, because every request reads it.
*/
export function createSuspects(): Suspects {
	const services = new Map<core.ServiceName, ServiceSuspects>();

	const open = (service: core.ServiceName): ServiceSuspects => {
		const tracked = services.get(service);
		if (tracked !== undefined) {
			return tracked;
		}

		const created = {
			version: 0, entries: new Map<string, SuspectEntry>(), recentSurvivals: new Set<string>(), olderSurvivals: new Set<string>(),
		};
		services.set(service, created);
		return created;
	};

	return {
		getQuarantineStatus(service, fingerprint, now) {
			const {entries} = open(service);
			const entry = entries.size === 0 ? undefined : entries.get(fingerprint);
			return entry !== undefined && entry.until > now ? entry.standing : 'free';
		},
		addLocalSuspect(service, fingerprint, until) {
			const {entries} = open(service);
			if (!entries.has(fingerprint)) {
				entries.set(fingerprint, {standing: 'suspect', until});
			}
		},
		clear(service, fingerprint) {
			services.get(service)?.entries.delete(fingerprint);
		},
		applyChange(change, now) {
			const {service, version, fingerprint, standing, milliseconds} = change;
			const tracked = open(service);
			if (version <= tracked.version) {
				return;
			}

			// After a gap the version stays, so that the next poll fills the gap.
			tracked.version = version === tracked.version + 1 ? version : tracked.version;
			if (standing === 'cleared') {
				tracked.entries.delete(fingerprint);
			} else {
				tracked.entries.set(fingerprint, {standing, until: now + milliseconds});
			}
		},
		replaceSuspects(answer, now) {
			for (const {service, version, suspects} of answer.services) {
				const tracked = open(service);
				if (version <= tracked.version) {
					continue;
				}

				tracked.version = version;
				tracked.entries = new Map(suspects
					.filter(({standing}) => standing !== 'cleared')
					.map(({fingerprint, standing, milliseconds}) => [
						fingerprint, {standing: standing as SuspectEntry['standing'], until: now + milliseconds},
					]));
			}
		},
		getVersions: () => Object.fromEntries(services.entries().map(([service, {version}]) => [service, version])),
		getVersion: service => services.get(service)?.version ?? 0,
		recordSurvival(service, fingerprint) {
			const tracked = open(service);
			tracked.recentSurvivals.add(fingerprint);
			if (tracked.recentSurvivals.size >= MAX_SURVIVALS) {
				rotate(tracked);
			}
		},
		consumeSurvival(service, fingerprint) {
			// A survival excuses only one crash, so that a request that was once harmless can become a suspect.
			const {recentSurvivals, olderSurvivals} = open(service);
			const isRecent = recentSurvivals.delete(fingerprint);
			return olderSurvivals.delete(fingerprint) || isRecent;
		},
		rotateSurvivals() {
			for (const tracked of services.values()) {
				rotate(tracked);
			}
		},
		removeService(service) {
			services.delete(service);
		},
	};
}

function rotate(tracked: ServiceSuspects): void {
	tracked.olderSurvivals = tracked.recentSurvivals;
	tracked.recentSurvivals = new Set();
}
