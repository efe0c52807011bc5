/**
Notifications as they travel. One that goes to many hosts in a row is written and packed once: a list of a hundred hosts takes longer to write than to send.
*/
import * as rpc from 'json-rpc-2.0';
import {packLine} from './packing.ts';

type Written = {
	readonly method: string;
	readonly parameters: unknown;
	readonly line: string;
};

let last: Written | undefined;

/**
Returns the line of a notification. The same parameters must not change before the next microtask.
*/
export function writeNotification(method: string, parameters: unknown): string {
	if (last?.method === method && last.parameters === parameters) {
		return last.line;
	}

	const line = packLine(JSON.stringify(rpc.createJSONRPCNotification(method, parameters as rpc.JSONRPCParams)));
	if (last === undefined) {
		queueMicrotask(() => {
			last = undefined;
		});
	}

	last = {method, parameters, line};
	return line;
}
