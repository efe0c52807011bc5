/**
One lasting connection between two hosts, over which both sides call and notify: JSON-RPC 2.0, one message a line.

A link that is silent for too long is closed: connections can go silent for good without a reset, while new ones work, and
a call on such a connection would only end with its own timeout.
*/
import type * as buffer from 'node:buffer';
import type * as net from 'node:net';
import * as rpc from 'json-rpc-2.0';
import * as results from 'ts-results-es';
import * as utils from 'wagtailroute-utils';
import {
	MAX_MESSAGE_BYTES,
	MAX_SILENCE_MILLISECONDS,
	MAX_UNSENT_BYTES,
	MAX_QUEUED_MESSAGES,
	PROBE_METHOD,
} from './constants.ts';
import {createLinkFailure, type LinkFailure} from './failures.ts';
import {createLineReader} from './lines.ts';
import {encodeNotification} from './notifications.ts';
import {compressLine, decompressLine} from './compression.ts';
import {runInTurn} from './turns.ts';
import {registerCheck} from './link-checks.ts';

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
	readonly getSilenceMilliseconds: () => number;
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
	readonly urgentMethods: ReadonlySet<string>;
	/**
	Milliseconds after which a message that waits is dropped, by method: its sender waits no longer for the answer.
	*/
	readonly queueTimeLimits: Pick<ReadonlyMap<string, number>, 'get'>;
	/**
	Told of each message that was dropped.
	*/
	readonly onDropped: (method: string) => void;
};

/**
What a link needs.
*/
export type LinkOptions = {
	/**
	Milliseconds without a message of this side after which it sends an empty one, so that the other hears that it runs.
	*/
	readonly getPingIntervalMilliseconds: () => number;
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
const METHOD_SEARCH_CHARACTERS = 100;
const METHOD_PATTERN = /"method":"(?<method>[^"]+)"/v;

type CallResponse = {
	readonly result?: unknown;
	readonly error?: {readonly message: string} | null;
};

/**
Code of the error that stands for the missing answer to a call. It never leaves the process.
*/
const TIMEOUT_ERROR_CODE = 0;

/**
Runs a link over a connection that is open.
*/
export function runLink(options: LinkOptions): Link {
	return new SocketLink(options);
}

class SocketLink implements Link {
	readonly #options: LinkOptions;
	readonly #rpc: rpc.JSONRPCServerAndClient<Link>;
	readonly #reader = createLineReader(MAX_MESSAGE_BYTES);
	#outgoingLines: string[] = [];
	#isOpen = true;
	#queuedMessages = 0;
	#lastCallId = 0;
	#lastReceivedAt: number;
	#lastSentAt: number;
	readonly #stopChecks: utils.Teardown;

	constructor(options: LinkOptions) {
		this.#options = options;
		this.#lastReceivedAt = options.now();
		this.#lastSentAt = options.now();
		const server = new rpc.JSONRPCServer<Link>({
			errorListener(_message, error) {
				options.onDefect(error as Error);
			},
		});
		server.addMethod(PROBE_METHOD, () => true);
		for (const [name, method] of options.methods) {
			server.addMethod(name, method as unknown as rpc.SimpleJSONRPCMethod<Link>);
		}

		this.#rpc = new rpc.JSONRPCServerAndClient(server, new rpc.JSONRPCClient(payload => {
			this.#write(compressLine(JSON.stringify(payload)));
		}));
		options.socket.setNoDelay(true);
		options.socket.on('data', (chunk: buffer.Buffer) => {
			this.#receive(chunk);
		});
		options.socket.on('error', () => undefined);
		options.socket.once('close', () => {
			this.close();
		});
		this.#stopChecks = registerCheck(() => {
			this.#check();
		});
	}

	async call(method: string, parameters: unknown, timeoutMilliseconds: number): Promise<results.Result<unknown, LinkFailure>> {
		if (!this.#isOpen) {
			return results.Err(createLinkFailure('link-closed', method, 'no connection'));
		}

		this.#lastCallId++;
		const id = this.#lastCallId;
		let isTimedOut = false;
		const cancelTimeout = utils.scheduleAfterReading(Math.ceil(timeoutMilliseconds), () => {
			isTimedOut = true;
			this.#rpc.client.receive(rpc.createJSONRPCErrorResponse(id, TIMEOUT_ERROR_CODE, 'Request timeout'));
		});
		const response: CallResponse = await this.#rpc.requestAdvanced(rpc.createJSONRPCRequest(id, method, parameters as rpc.JSONRPCParams));
		cancelTimeout();
		const {result, error} = response;
		if (result !== undefined && !error) {
			return results.Ok(result);
		}

		const kind = this.#isOpen ? 'call-refused' : 'call-lost';
		return results.Err(createLinkFailure(isTimedOut ? 'call-timeout' : kind, method, error?.message ?? 'no result'));
	}

	notify(method: string, parameters: unknown): void {
		if (this.#isOpen) {
			this.#write(encodeNotification(method, parameters));
		}
	}

	getSilenceMilliseconds(): number {
		return this.#options.now() - this.#lastReceivedAt;
	}

	getBytes(): {readonly sent: number; readonly received: number} {
		const {bytesWritten, bytesRead} = this.#options.socket;
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
		this.#stopChecks();
		this.#options.socket.destroy();
		this.#rpc.rejectAllPendingRequests('the connection ended');
		this.#options.onClose(this);
	}

	#check(): void {
		if (this.getSilenceMilliseconds() > MAX_SILENCE_MILLISECONDS || this.#options.socket.writableLength > MAX_UNSENT_BYTES) {
			this.close();
			return;
		}

		if (this.#options.now() - this.#lastSentAt >= this.#options.getPingIntervalMilliseconds()) {
			this.#write('');
		}
	}

	/**
	Collects the messages of one turn of the loop into one write: each write costs a system call and a packet.
	*/
	#write(line: string): void {
		this.#outgoingLines.push(line);
		if (this.#outgoingLines.length === 1) {
			setImmediate(() => {
				this.#flush();
			});
		}
	}

	#flush(): void {
		const text = `${this.#outgoingLines.join('\n')}\n`;
		this.#outgoingLines = [];
		if (!this.#isOpen) {
			return;
		}

		this.#lastSentAt = this.#options.now();
		this.#options.socket.write(text);
	}

	#receive(chunk: buffer.Buffer): void {
		this.#lastReceivedAt = this.#options.now();
		const lines = this.#reader.read(chunk);
		if (lines === undefined) {
			this.#options.onDefect(new Error(`A message is longer than ${MAX_MESSAGE_BYTES} bytes.`));
			this.close();
			return;
		}

		for (const line of lines) {
			if (line !== '') {
				this.#scheduleLine(line);
			}
		}
	}

	#scheduleLine(compressed: string): void {
		const line = decompressLine(compressed);
		const method = findMethod(line);
		const {order, now} = this.#options;
		// Answers to this side's calls are urgent: somebody waits for them, and they are as many as the calls.
		if (method === undefined || order?.urgentMethods.has(method) === true) {
			this.#handleLine(line);
			return;
		}

		const expiresAt = now() + (order?.queueTimeLimits.get(method) ?? Infinity);
		this.#queuedMessages++;
		runInTurn(() => {
			this.#queuedMessages--;
			if (now() > expiresAt) {
				order?.onDropped(method);
			} else if (this.#isOpen) {
				this.#handleLine(line);
			}

			if (this.#options.socket.isPaused() && this.#queuedMessages <= MAX_QUEUED_MESSAGES / 2) {
				this.#options.socket.resume();
			}
		});
		if (this.#queuedMessages > MAX_QUEUED_MESSAGES) {
			this.#options.socket.pause();
		}
	}

	#handleLine(line: string | undefined): void {
		const payload = parseLine(line);
		// The library reads members of whatever it is given: a bare `null` would be a rejection that nobody handles.
		if (typeof payload !== 'object' || payload === null) {
			this.#options.onDefect(new Error('A message is no JSON-RPC.'));
			this.close();
			return;
		}

		this.#rpc.receiveAndSend(payload, this).catch((error: unknown) => {
			this.#options.onDefect(error as Error);
		});
	}
}

/**
Returns the method that a message names; undefined for an answer, and for what is no message.
*/
function findMethod(line: string | undefined): string | undefined {
	return line === undefined ? undefined : METHOD_PATTERN.exec(line.slice(0, METHOD_SEARCH_CHARACTERS))?.groups?.method;
}

function parseLine(line: string | undefined): unknown {
	try {
		return line === undefined ? undefined : JSON.parse(line);
	} catch {
		return undefined;
	}
}
