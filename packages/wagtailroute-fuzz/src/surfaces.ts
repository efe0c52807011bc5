/**
All surfaces by name.
*/
import type {Surface} from './surface.ts';
import {COMMAND_LINE_SURFACE} from './surfaces/command-line.ts';
import {HTTP_SURFACES} from './surfaces/http.ts';
import {PEER_SURFACE} from './surfaces/peer.ts';
import {STORED_SURFACE} from './surfaces/stored.ts';

/**
The surfaces, in the order of a full run.
*/
export const SURFACES: ReadonlyMap<string, Surface> = new Map(
	[...HTTP_SURFACES, PEER_SURFACE, STORED_SURFACE, COMMAND_LINE_SURFACE].map(surface => [surface.name, surface]),
);
