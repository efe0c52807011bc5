/**
The encoded form of a generation, in which it is replicated, stored and sent.

A generation of some thousand routes takes over a megabyte as JSON together with its document. It passes through every control host several times: to the leader, to each
replica, to its disk, into snapshots, and to entry hosts. It is therefore deflated once, by the host that accepts it, and everyone else handles a text of a tenth of the length.
*/
import * as buffer from 'node:buffer';
import * as zlib from 'node:zlib';
import type {Generation} from './generation.ts';

/**
A generation with the document that it was parsed from, which operators read back as they sent it.
*/
export type SubmittedGeneration = {
	readonly generation: Generation;
	readonly document: string;
};

/**
A generation and its document, each as deflated text in base64.
*/
export type EncodedGeneration = {
	readonly version: number;
	readonly generation: string;
	readonly document: string;
};

/**
Level 1 of 9: it deflates a document to a fifteenth, and higher levels take several times as long for a few percent.
*/
const COMPRESSION_LEVEL = 1;

/**
Encodes a validated generation and its document.
*/
export function encodeGeneration({generation, document}: SubmittedGeneration): EncodedGeneration {
	return {version: generation.version, generation: encodeText(JSON.stringify(generation)), document: encodeText(document)};
}

/**
Returns the generation of its encoded form. Throws on a text that {@link encodeGeneration} did not produce.
*/
export function decodeGeneration(encoded: string): Generation {
	return JSON.parse(decodeText(encoded)) as Generation;
}

/**
Returns the document of its encoded form. Throws on a text that {@link encodeGeneration} did not produce.
*/
export function decodeDocument(encoded: string): string {
	return decodeText(encoded);
}

function encodeText(text: string): string {
	return zlib.deflateRawSync(text, {level: COMPRESSION_LEVEL}).toString('base64');
}

function decodeText(encoded: string): string {
	return zlib.inflateRawSync(buffer.Buffer.from(encoded, 'base64')).toString();
}
