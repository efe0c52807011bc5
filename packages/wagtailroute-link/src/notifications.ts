/**
Notifications as they travel. One that goes to many hosts in a row is written and packed once: a list of a hundred hosts takes longer to write than to send.
*/
import * as rpc from 'json-rpc-2.0';
import {compressLine} from './compression.ts';

type EncodedNotification = {
	readonly method: string;
	readonly parameters: unknown;
	readonly line: string;
};

let lastEncoded: EncodedNotification | undefined;

/**
Returns the line of a notification. The same parameters must not change before the next microtask.
*/
export function encodeNotification(method: string, parameters: unknown): string {
	if (lastEncoded?.method === method && lastEncoded.parameters === parameters) {
		return lastEncoded.line;
	}

	const line = compressLine(JSON.stringify(rpc.createJSONRPCNotification(method, parameters as rpc.JSONRPCParams)));
	if (lastEncoded === undefined) {
		queueMicrotask(() => {
			lastEncoded = undefined;
		});
	}

	lastEncoded = {method, parameters, line};
	return line;
}
