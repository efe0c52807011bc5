/**
Collection of garbage before the heap is measured.
*/
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

/**
Collects all garbage.
*/
export function collectGarbage(): void {
	// The flag counts for contexts made after it.
	v8.setFlagsFromString('--expose-gc');
	(vm.runInNewContext('gc') as () => void)();
}
