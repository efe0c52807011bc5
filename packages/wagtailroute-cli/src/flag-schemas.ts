/**
Schemas that parse the text of a flag.
*/
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import * as zod from 'zod';

const MAX_PORT = 65_535;

/**
A port number from 0 to 65535.
*/
export const port = zod.string().regex(/^\d{1,5}$/v).transform(Number).pipe(zod.int().max(MAX_PORT));

/**
`ip:port`, with brackets around an IPv6 address.
*/
export const address = zod.string().transform((text, context): core.Address => {
	const parsed = parseAddress(text);
	if (!parsed) {
		context.addIssue('not ip:port');
		return zod.NEVER;
	}

	return parsed;
});

/**
The name of a host, failure domain, region or service.
*/
export const name = zod.string().regex(/^[\dA-Za-z][\w\-.]{0,62}$/v);

/**
A secret: 1 to 512 ASCII characters without white space and control characters.
*/
export const secret = zod.string().regex(/^[\p{ASCII}--[\s\p{Control}]]{1,512}$/v);

/**
An integer of at least 1 with at most 9 digits.
*/
export const positiveInteger = zod.string().regex(/^\d{1,9}$/v).transform(Number).pipe(zod.int().min(1));

/**
An integer of at least 0 with at most 9 digits.
*/
export const nonNegativeInteger = zod.string().regex(/^\d{1,9}$/v).transform(Number);

/**
A list of addresses, separated by commas. It may be empty.
*/
export const addresses = createList(address);

/**
A list of `id=ip:port`, separated by commas. It may be empty.
*/
export const namedAddresses = createList(zod.string()
	.regex(/^[^=]+=[^=]+$/v)
	.transform(text => {
		const [id, addressText] = text.split('=', 2);
		return {id, address: addressText};
	})
	.pipe(zod.object({id: name, address})));

/**
The roles of a host: a list with at least one role and without repetition.
*/
export const roles = createList(zod.enum(['entry', 'control']))
	.pipe(zod.array(zod.enum(['entry', 'control'])).min(1))
	.refine(list => new Set(list).size === list.length);

/**
The value of a switch.
*/
export const trueOrFalse = zod.enum(['true', 'false']).transform(text => text === 'true');

/**
A span of time such as `30s`, `5m`, `1h` or `3d`. It stays text: the host parses it.
*/
export const span = zod.string().regex(/^[1-9]\d{0,4}[dhms]$/v);

function parseAddress(text: string): core.Address | undefined {
	const match = /^(?:\[(?<six>[^\]]+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/v.exec(text);
	const {six, four, port: digits} = match?.groups ?? {};
	const ip = six ?? four ?? '';
	const isValidIp = six === undefined ? net.isIPv4(ip) : net.isIPv6(ip);
	const portNumber = Number(digits);
	return isValidIp && portNumber <= MAX_PORT ? {ip, port: portNumber} : undefined;
}

function createList<Item extends zod.ZodType<unknown, string>>(item: Item) {
	return zod.string()
		.transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))
		.pipe(zod.array(item));
}

/**
The path of a file or folder, at most 4096 characters.
*/
export const path = zod.string().min(1).max(4096);

/**
The format of a log or an answer.
*/
export const textOrJson = zod.enum(['text', 'json']);

/**
The format of a report.
*/
export const reportFormat = zod.enum(['text', 'json', 'html']);

/**
The lowest level that is logged.
*/
export const logLevel = zod.enum(['error', 'warn', 'info', 'debug']);

/**
When overload control is on.
*/
export const overloadControl = zod.enum(['on', 'off', 'auto']);
