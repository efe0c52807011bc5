/**
Tables that keep the newest entries only.

A table of what was once seen, and is never asked to be forgotten, grows for as long as the process lives: noticed as its memory
reaches the limit after weeks. These keep a number that outlasts everything that may still refer to an entry.
*/

/**
Sets an entry as the newest and forgets the oldest beyond the number.
*/
export function setBounded<Key, Value>(map: Map<Key, Value>, key: Key, value: Value, maxSize: number): void {
	// Deleted first: a map keeps the place of a key that it has.
	map.delete(key);
	map.set(key, value);
	if (map.size > maxSize) {
		map.delete(map.keys().next().value!);
	}
}
