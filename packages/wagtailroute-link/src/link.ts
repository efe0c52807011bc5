/**
One lasting connection between two hosts, over which both sides call and notify: JSON-RPC 2.0, one message a line.

A link that is silent for too long is closed: connections can go silent for good without a reset, while new ones work, and
a call on such a connection would only end with its own timeout.
*/
import type * as buffer from 'node:buffer';
import type * as net from 'node:net';
import * as rpc from 'json-rpc-2.0';
import * as results from 'ts-results-es';
import type * as utils from 'wagtailroute-utils';
import {
	MESSAGE_BYTES,
	SILENT_MILLISECONDS,
	WAITING_BYTES,
	WAITING_MESSAGES,
} from './constants.ts';
import {createLinkFailure, type LinkFailure} from './failures.ts';
import {createLineReader} from './lines.ts';
import {writeNotification} from './notifications.ts';
import {packLine, unpackLine} from './packing.ts';
import {runInTurn} from './turns.ts';
import {registerWatch} from './watch.ts';

/**
One end of a connection.
*/
export type Link = {
	readonly call: (method: string, parameters: unknown, timeoutMilliseconds: number) => Promise<results.Result<unknown, LinkFailure>>;
	/**
	Sends without an answer, in order; dropped once the link is closed.
	*/
	readonly notify: (method: string, parameters: unknown) => void;
	/**
	Milliseconds since the other side was last heard.
	*/
	readonly getSilence: () => number;
	readonly isOpen: () => boolean;
	/**
	Bytes sent and received so far, without those of TCP and IP.
	*/
	readonly getBytes: () => {readonly sent: number; readonly received: number};
	readonly close: () => void;
};

/**
Answers a method. The value must be JSON.
*/
export type LinkMethod = (parameters: never, link: Link) => unknown;

/**
Methods by name.
*/
export type LinkMethods = ReadonlyMap<string, LinkMethod>;

/**
Which messages go first at a busy process, and which are of no use any more when their turn comes.
*/
export type MessageOrder = {
	/**
	Methods whose messages do not wait for others that came before, on this link or on another one.
	*/
	readonly urgent: ReadonlySet<string>;
	/**
	Milliseconds after which a message that waits is dropped, by method: its sender waits no longer for the answer.
	*/
	readonly limits: ReadonlyMap<string, number>;
	/**
	Told of each message that was dropped.
	*/
	readonly onDropped: (method: string) => void;
};

/**
What a link needs.
*/
export type LinkPlan = {
	/**
	Milliseconds without a message of this side after which it sends an empty one, so that the other hears that it runs.
	*/
	readonly pingMilliseconds: () => number;
	readonly socket: net.Socket;
	readonly methods: LinkMethods;
	/**
	Absent: all messages wait for those that came before.
	*/
	readonly order?: MessageOrder;
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: () => number;
	readonly onClose: (link: Link) => void;
	/**
	Told of a message that could not be read and of a method that threw.
	*/
	readonly onDefect: (error: Error) => void;
};

/**
Where a message names its method: the library writes it before the parameters.
*/
const METHOD_CHARACTERS = 100;
const METHOD_PATTERN = /"method":"(?<method>[^"]+)"/v;

/**
Runs a link over a connection that is open.
*/
export function runLink(plan: LinkPlan): Link {
	return new SocketLink(plan);
}

class SocketLink implements Link {
	readonly #plan: LinkPlan;
	readonly #ends: rpc.JSONRPCServerAndClient<Link>;
	readonly #reader = createLineReader(MESSAGE_BYTES);
	#lines: string[] = [];
	#isOpen = true;
	#waiting = 0;
	#heardAt: number;
	#sentAt: number;
	readonly #stopWatching: utils.Teardown;

	constructor(plan: LinkPlan) {
		this.#plan = plan;
		this.#heardAt = plan.now();
		this.#sentAt = plan.now();
		const server = new rpc.JSONRPCServer<Link>({
			errorListener(_message, error) {
				plan.onDefect(error as Error);
			},
		});
		for (const [name, method] of plan.methods) {
			server.addMethod(name, method as unknown as rpc.SimpleJSONRPCMethod<Link>);
		}

		this.#ends = new rpc.JSONRPCServerAndClient(server, new rpc.JSONRPCClient(payload => {
			this.#write(packLine(JSON.stringify(payload)));
		}));
		plan.socket.setNoDelay(true);
		plan.socket.on('data', (chunk: buffer.Buffer) => {
			this.#receive(chunk);
		});
		plan.socket.on('error', () => undefined);
		plan.socket.once('close', () => {
			this.close();
		});
		this.#stopWatching = registerWatch(() => {
			this.#watch();
		});
	}

	async call(method: string, parameters: unknown, timeoutMilliseconds: number): Promise<results.Result<unknown, LinkFailure>> {
		if (!this.#isOpen) {
			return results.Err(createLinkFailure('link-closed', method, 'no connection'));
		}

		let isLate = false;
		const caller = this.#ends.timeout(Math.max(1, Math.ceil(timeoutMilliseconds)));
		const timer = setTimeout(() => {
			isLate = true;
		}, Math.max(0, timeoutMilliseconds - 1));
		try {
			return results.Ok(await caller.request(method, parameters as rpc.JSONRPCParams));
		} catch (error) {
			const {message} = error as Error;
			const kind = this.#isOpen ? 'call-refused' : 'call-lost';
			return results.Err(createLinkFailure(isLate ? 'call-timeout' : kind, method, message));
		} finally {
			clearTimeout(timer);
		}
	}

	notify(method: string, parameters: unknown): void {
		if (this.#isOpen) {
			this.#write(writeNotification(method, parameters));
		}
	}

	getSilence(): number {
		return this.#plan.now() - this.#heardAt;
	}

	getBytes(): {readonly sent: number; readonly received: number} {
		const {bytesWritten, bytesRead} = this.#plan.socket;
		return {sent: bytesWritten, received: bytesRead};
	}

	isOpen(): boolean {
		return this.#isOpen;
	}

	close(): void {
		if (!this.#isOpen) {
			return;
		}

		this.#isOpen = false;
		this.#stopWatching();
		this.#plan.socket.destroy();
		this.#ends.rejectAllPendingRequests('the connection ended');
		this.#plan.onClose(this);
	}

	#watch(): void {
		if (this.getSilence() > SILENT_MILLISECONDS || this.#plan.socket.writableLength > WAITING_BYTES) {
			this.close();
			return;
		}

		if (this.#plan.now() - this.#sentAt >= this.#plan.pingMilliseconds()) {
			this.#write('');
		}
	}

	/**
	Collects the messages of one turn of the loop into one write: each write costs a system call and a packet.
	*/
	#write(line: string): void {
		this.#lines.push(line);
		if (this.#lines.length === 1) {
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		const text = `${this.#lines.join('\n')}\n`;
		this.#lines = [];
		if (!this.#isOpen) {
			return;
		}

		this.#sentAt = this.#plan.now();
		this.#plan.socket.write(text);
	}

	#receive(chunk: buffer.Buffer): void {
		this.#heardAt = this.#plan.now();
		const lines = this.#reader.read(chunk);
		if (lines === undefined) {
			this.#plan.onDefect(new Error(`A message is longer than ${MESSAGE_BYTES} bytes.`));
			this.close();
			return;
		}

		for (const line of lines) {
			if (line !== '') {
				this.#order(line);
			}
		}
	}

	#order(packed: string): void {
		const line = unpackLine(packed);
		const method = findMethod(line);
		const {order, now} = this.#plan;
		// Answers to this side's calls are urgent: somebody waits for them, and they are as many as the calls.
		if (method === undefined || order?.urgent.has(method) === true) {
			this.#take(line);
			return;
		}

		const droppedAt = now() + (order?.limits.get(method) ?? Infinity);
		this.#waiting++;
		runInTurn(() => {
			this.#waiting--;
			if (now() > droppedAt) {
				order?.onDropped(method);
			} else if (this.#isOpen) {
				this.#take(line);
			}

			if (this.#plan.socket.isPaused() && this.#waiting <= WAITING_MESSAGES / 2) {
				this.#plan.socket.resume();
			}
		});
		if (this.#waiting > WAITING_MESSAGES) {
			this.#plan.socket.pause();
		}
	}

	#take(line: string | undefined): void {
		const payload = parseLine(line);
		// The library reads members of whatever it is given: a bare `null` would be a rejection that nobody handles.
		if (typeof payload !== 'object' || payload === null) {
			this.#plan.onDefect(new Error('A message is no JSON-RPC.'));
			this.close();
			return;
		}

		this.#ends.receiveAndSend(payload, this).catch((error: unknown) => {
			this.#plan.onDefect(error as Error);
		});
	}
}

/**
Returns the method that a message names; undefined for an answer, and for what is no message.
*/
function findMethod(line: string | undefined): string | undefined {
	return line === undefined ? undefined : METHOD_PATTERN.exec(line.slice(0, METHOD_CHARACTERS))?.groups?.method;
}

function parseLine(line: string | undefined): unknown {
	try {
		return line === undefined ? undefined : JSON.parse(line);
	} catch {
		return undefined;
	}
}
