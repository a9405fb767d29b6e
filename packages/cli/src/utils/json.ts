/**
 * Lenient conversions of JSON values, because a node of another version may send another shape.
 */

/** A JSON object. */
export type JsonObject = Record<string, unknown>

/**
 * @param value - any JSON value
 * @returns the value if it is an object, or an empty object
 */
export function toObject (value: unknown): JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as JsonObject : {}
}

/**
 * @param value - any JSON value
 * @returns the items if the value is a list, each converted by {@link toObject}, or an empty list
 */
export function toObjects (value: unknown): JsonObject[] {
  return Array.isArray(value) ? value.map(item => toObject(item)) : []
}

/**
 * @param value - any JSON value
 * @param fallback - returned if the value is not a string, number or boolean (default: an empty string)
 * @returns the value as text
 */
export function toText (value: unknown, fallback = ''): string {
  return typeof value === 'string' || typeof value === 'number' || typeof value === 'boolean' ? String(value) : fallback
}
