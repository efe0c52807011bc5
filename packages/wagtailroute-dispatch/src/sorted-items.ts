/**
Items in ascending order of a numeric key, in arrays. Insertion and removal take logarithmic time apart from the move of array elements.
*/

/**
Sorted items. Keys need not be unique, an item is present at most once.
*/
export class SortedItems<Item> {
	readonly #keys: number[] = [];
	readonly #items: Item[] = [];
	#nextKey = -Infinity;

	/**
	The items in ascending order of their keys. The array changes with the items.
	*/
	get items(): readonly Item[] {
		return this.#items;
	}

	get size(): number {
		return this.#items.length;
	}

	/**
	Returns the lowest key; Infinity without items.
	*/
	getLowestKey(): number {
		return this.#keys[0] ?? Infinity;
	}

	insert(key: number, item: Item): void {
		const index = this.#findIndex(key);
		this.#keys.splice(index, 0, key);
		this.#items.splice(index, 0, item);
	}

	remove(key: number, item: Item): void {
		let index = this.#findIndex(key);
		while (this.#items[index] !== item) {
			index++;
		}

		this.#keys.splice(index, 1);
		this.#items.splice(index, 1);
	}

	/**
	Returns up to `count` accepted items. Each call starts behind the last item of the previous one, so that all items get their turn. Keys must be unique.
	*/
	takeTurns(count: number, isAccepted: (item: Item) => boolean): readonly Item[] {
		const taken: Item[] = [];
		const from = this.#findIndex(this.#nextKey);
		for (let offset = 0; offset < this.size && taken.length < count; offset++) {
			const index = (from + offset) % this.size;
			this.#nextKey = this.#keys[index]! + 1;
			if (isAccepted(this.#items[index]!)) {
				taken.push(this.#items[index]!);
			}
		}

		return taken;
	}

	/**
	Returns the index of the first item whose key is not lower.
	*/
	#findIndex(key: number): number {
		let from = 0;
		let to = this.#keys.length;
		while (from < to) {
			const middle = Math.floor((from + to) / 2);
			[from, to] = this.#keys[middle]! < key ? [middle + 1, to] : [from, middle];
		}

		return from;
	}
}
