/**
Crash reports, trials and the quarantine status of fingerprints: payloads, results and state about requests that may crash
upstreams.
*/

/**
A crash that a host detected. Several hosts may report the same crash: upstream and incarnation identify it.
*/
export type CrashReport = {
	readonly upstream: string;
	/**
	Identifies one process of the upstream between two restarts, by what it announced.
	*/
	readonly incarnation: string;
	/**
	The requests of this host that were in flight at the upstream.
	*/
	readonly inFlight: ReadonlyArray<{
		readonly fingerprint: string;
		/**
		Whether a request with this fingerprint has completed on this host before.
		*/
		readonly hasCompleted: boolean;
	}>;
};

/**
Requests permission to run a suspect request on an upstream.
*/
export type TrialRequest = {
	readonly fingerprint: string;
	readonly upstream: string;
	/**
	Unique across the fleet and over time.
	*/
	readonly attempt: string;
	/**
	The longest that the execution may take, in ms.
	*/
	readonly budgetMilliseconds: number;
};

/**
Result of a trial request. `clear`: the request is not a suspect and needs no trial. `wait`: another copy is on trial.
`upstream-busy`: another suspect is on trial there, so the host requests a trial on another upstream.
`milliseconds` is the remaining time until the trial or the quarantine expires.
*/
export type TrialResult =
	| {readonly kind: 'clear'}
	| {readonly kind: 'granted'; readonly validityMilliseconds: number}
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'upstream-busy'}
	| {readonly kind: 'quarantined'; readonly milliseconds: number};

/**
The end of a trial that the upstream survived. After a crash the host sends a `CrashReport` instead.
*/
export type TrialEnding = {
	readonly attempt: string;
	readonly ending: 'completed' | 'not-sent';
};

/**
Quarantine status of a fingerprint. `suspect`: runs only on trial. `cleared`: has completed a trial or was released by an
operator, and later crashes are not attributed to it. `quarantined`: refused.
*/
export type QuarantineStatus = 'suspect' | 'cleared' | 'quarantined';

/**
A trial in progress. It stops being exclusive at the group time `until`.
*/
export type Trial = {
	readonly attempt: string;
	readonly upstream: string;
	readonly until: number;
};

/**
The record of a fingerprint. It expires at the group time `until`.
*/
export type FingerprintEntry = {
	readonly fingerprint: string;
	readonly standing: QuarantineStatus;
	/**
	Names of the crashes that are attributed to the fingerprint.
	*/
	readonly crashes: readonly string[];
	readonly until: number;
	readonly trial?: Trial;
};

/**
A crash that was reported. `name` is the JSON of upstream and incarnation; `until` is the group time at which it expires.
*/
export type Crash = {readonly name: string; readonly until: number};

/**
The quarantine of one service as plain JSON. `version` counts the changes of status.
*/
export type QuarantineState = {
	readonly version: number;
	readonly entries: readonly FingerprintEntry[];
	readonly crashes: readonly Crash[];
};

/**
A change of a fingerprint's quarantine status, to be sent to hosts.
*/
export type QuarantineNotice = {
	readonly fingerprint: string;
	readonly standing: QuarantineStatus;
	readonly version: number;
};

/**
The state after a command, and the changes to be sent to hosts.
*/
export type QuarantineChange = {
	readonly state: QuarantineState;
	readonly notices: readonly QuarantineNotice[];
};
