/**
Simulated links between hosts in virtual time. A message arrives after the delay between the hosts, or never when the receiver has no power.
*/
import * as results from 'ts-results-es';
import type * as link from 'wagtailroute-link';
import type {Clock} from './clock.ts';

/**
A host as its links see it.
*/
export type Endpoint = {
	readonly role: 'control' | 'entry';
	readonly failureDomain: string;
	readonly methods: link.LinkMethods;
	/**
	Time in which it is cut off from all hosts of the other role; absent while it reaches them. Messages sent meanwhile arrive afterwards.
	*/
	cut?: {readonly from: number; readonly until: number};
	/**
	`away`: no power, messages are lost. `frozen`: messages wait.
	*/
	state: 'up' | 'away' | 'frozen';
	frozenUntil: number;
	/**
	Processor time that the host needs for each message; it handles one after the other, so that messages wait while it is busy.
	*/
	readonly messageMilliseconds: number;
	/**
	When it will have handled all messages that have arrived; absent when it has had none.
	*/
	busyUntil?: number;
};

/**
Creates the two ends of a link, in the order of the given endpoints.

@param delayMilliseconds Delay in each direction.
*/
export function createLinkPair(clock: Clock, ends: readonly [Endpoint, Endpoint], delayMilliseconds: number): readonly [link.Link, link.Link] {
	const first = new VirtualLink(clock, ends[0], delayMilliseconds);
	const second = new VirtualLink(clock, ends[1], delayMilliseconds);
	first.peer = second;
	second.peer = first;
	return [first, second];
}

class VirtualLink implements link.Link {
	peer: VirtualLink | undefined;
	readonly #clock: Clock;
	readonly #end: Endpoint;
	readonly #delayMilliseconds: number;
	/**
	Messages that have arrived and wait.
	*/
	readonly #held: Array<() => void> = [];
	#isOpen = true;
	#heardAt: number;

	constructor(clock: Clock, end: Endpoint, delayMilliseconds: number) {
		this.#clock = clock;
		this.#end = end;
		this.#delayMilliseconds = delayMilliseconds;
		this.#heardAt = clock.now();
	}

	async call(method: string, parameters: unknown, timeoutMilliseconds: number): Promise<results.Result<unknown, link.LinkFailure>> {
		const {promise, resolve} = Promise.withResolvers<results.Result<unknown, link.LinkFailure>>();
		const fail = (kind: link.LinkFailure['kind']) => {
			resolve(results.Err({kind, message: method}));
		};

		if (!this.#isOpen) {
			fail('link-closed');
			return promise;
		}

		const cancel = this.#clock.schedule(timeoutMilliseconds, () => {
			fail('call-timeout');
		});
		this.#deliver(() => {
			void this.peer!.#answer(method, parameters, value => {
				cancel();
				resolve(results.Ok(value));
			});
		});
		return promise;
	}

	notify(method: string, parameters: unknown): void {
		if (this.#isOpen) {
			this.#deliver(() => {
				this.peer!.#handle(method, parameters);
			});
		}
	}

	getSilenceMilliseconds(): number {
		const peer = this.peer!.#end;
		if (peer.state !== 'up') {
			return this.#clock.now() - this.#heardAt;
		}

		// A running host pings, so it is silent only while its messages do not arrive.
		const cut = findCut(this.#end, peer);
		return cut === undefined ? 0 : this.#clock.now() - Math.max(cut.from, this.#heardAt);
	}

	isOpen(): boolean {
		return this.#isOpen;
	}

	getBytes(): {readonly sent: number; readonly received: number} {
		return {sent: 0, received: 0};
	}

	close(): void {
		this.#isOpen = false;
		this.peer!.#isOpen = false;
	}

	async #answer(method: string, parameters: unknown, reply: (value: unknown) => void): Promise<void> {
		const value = await this.#handle(method, parameters);
		this.#deliver(() => {
			reply(value);
		});
	}

	#handle(method: string, parameters: unknown): unknown {
		return this.#end.methods.get(method)?.(parameters as never, this);
	}

	/**
	Runs a function at the other end after the delay, as the arrival of a message.
	*/
	#deliver(run: () => void): void {
		const peer = this.peer!;
		this.#clock.schedule(this.#delayMilliseconds, () => {
			peer.#receive(run);
		});
	}

	#receive(run: () => void): void {
		if (!this.#isOpen || this.#end.state === 'away') {
			return;
		}

		if (this.#held.length > 0 || this.#findHoldEnd() !== undefined) {
			this.#held.push(run);
			this.#releaseLater();
			return;
		}

		this.#heardAt = this.#clock.now();
		this.#process(run);
	}

	/**
	Handles a message as soon as the host has handled those that arrived before.
	*/
	#process(run: () => void): void {
		const end = this.#end;
		if (end.messageMilliseconds === 0) {
			run();
			return;
		}

		end.busyUntil = Math.max(end.busyUntil ?? 0, this.#clock.now()) + end.messageMilliseconds;
		this.#clock.schedule(end.busyUntil - this.#clock.now(), () => {
			if (end.state !== 'away') {
				run();
			}
		});
	}

	/**
	Returns until when arriving messages wait; undefined when they do not.
	*/
	#findHoldEnd(): number | undefined {
		return this.#end.state === 'frozen' ? this.#end.frozenUntil : findCut(this.#end, this.peer!.#end)?.until;
	}

	/**
	Schedules the handling of waiting messages, in the order of their arrival.
	*/
	#releaseLater(): void {
		if (this.#held.length > 1) {
			return;
		}

		const wait = Math.max(0, (this.#findHoldEnd() ?? 0) - this.#clock.now());
		this.#clock.schedule(wait, () => {
			this.#release();
		});
	}

	#release(): void {
		const held = this.#held.splice(0);
		for (const run of held) {
			this.#receive(run);
		}
	}
}

function findCut(left: Endpoint, right: Endpoint): Endpoint['cut'] {
	return left.role === right.role ? undefined : left.cut ?? right.cut;
}
