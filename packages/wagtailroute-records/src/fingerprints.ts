/**
Crashes, trials and standings of fingerprints: what hosts say to the cell about requests that may crash upstreams, and what
they are told.
*/

/**
A crash seen by a host. Several hosts may report the same one: it is known by the upstream and its incarnation.
*/
export type CrashReport = {
	readonly upstream: string;
	/**
	Names one life of the upstream's process, by what it announced.
	*/
	readonly incarnation: string;
	/**
	What this host had in flight there.
	*/
	readonly inFlight: ReadonlyArray<{
		readonly fingerprint: string;
		/**
		Whether this host has seen a request with this fingerprint complete.
		*/
		readonly hasCompleted: boolean;
	}>;
};

/**
Asks to run a suspect on an upstream.
*/
export type TrialRequest = {
	readonly fingerprint: string;
	readonly upstream: string;
	/**
	Unique over the fleet and over time.
	*/
	readonly attempt: string;
	/**
	How long the execution may take, in ms.
	*/
	readonly budgetMilliseconds: number;
};

/**
Answer to a trial request. `clear`: no suspect, send it as any other. `wait`: another copy is on trial. `upstream-busy`:
another suspect is on trial there, ask again with another upstream.
*/
export type TrialResult =
	| {readonly kind: 'clear'}
	| {readonly kind: 'granted'; readonly validityMilliseconds: number}
	| {readonly kind: 'wait'; readonly milliseconds: number}
	| {readonly kind: 'upstream-busy'}
	| {readonly kind: 'quarantined'; readonly milliseconds: number};

/**
How a trial ended, when the upstream survived it. A crash is reported as such instead.
*/
export type TrialEnding = {
	readonly attempt: string;
	readonly ending: 'completed' | 'not-sent';
};

/**
Where a fingerprint stands.
*/
export type QuarantineStatus = 'suspect' | 'cleared' | 'quarantined';

/**
A trial that is under way.
*/
export type Trial = {
	readonly attempt: string;
	readonly upstream: string;
	readonly until: number;
};

/**
What the cell knows of a fingerprint.
*/
export type FingerprintEntry = {
	readonly fingerprint: string;
	readonly standing: QuarantineStatus;
	/**
	The crashes that it is tied to.
	*/
	readonly crashes: readonly string[];
	readonly until: number;
	readonly trial?: Trial;
};

/**
A crash that is remembered.
*/
export type Crash = {readonly name: string; readonly until: number};

/**
The quarantine of one service as plain JSON.
*/
export type QuarantineState = {
	readonly version: number;
	readonly entries: readonly FingerprintEntry[];
	readonly crashes: readonly Crash[];
};

/**
A change that hosts must learn of.
*/
export type QuarantineNotice = {
	readonly fingerprint: string;
	readonly standing: QuarantineStatus;
	readonly version: number;
};

/**
A change of the state with what hosts must learn.
*/
export type QuarantineChange = {
	readonly state: QuarantineState;
	readonly notices: readonly QuarantineNotice[];
};
