import type { Schema } from '../types/Field.js'
import type { ResolvedJobFile, ResolvedTaskGroup } from '../types/jobFile.js'
import type { ResolvedClass, ResolvedLimits, ResolvedRoute, ResolvedTeam, WorkKind } from '../types/rules.js'
import type { ResolvedSettings } from '../types/settings.js'
import { address, addresses, decimal, duration, flag, integer, memory, oneOf, percentage, size, text } from './fields.js'

/**
 * Every key of the rules and of the settings, with unit, default and bounds.
 */

/** Kinds of work, as written in the text. */
export const WORK_KINDS: readonly WorkKind[] = ['request', 'batch', 'gang', 'service']

const NAME_PATTERN = /^[a-z][a-z0-9-]{0,62}$/
const NAME_DESCRIPTION = 'a small letter, then up to 62 small letters, digits or hyphens'
const TEAM_PATTERN = /^(?:[a-z][a-z0-9-]{0,62})?$/
const TEAM_DESCRIPTION = `empty, or ${NAME_DESCRIPTION}`
const COMMAND_PATTERN = /^.{1,4096}$/u
const COMMAND_DESCRIPTION = 'one line of 1 to 4096 characters'
const PATH_PATTERN = /^(?:\/|(?:\/(?:\*{1,2}|[^/\s?#*]+)){1,32})$/
const PATH_DESCRIPTION = 'a path that starts with / and has at most 32 segments; a segment is *, ** or has no *, blank, ? or #'
const METHOD_PATTERN = /^(?:\*|[A-Z][A-Z-]{0,31})$/
const METHOD_DESCRIPTION = 'a method in capitals, or *'

/** Keys of a line under `classes`. */
export const CLASS_SCHEMA: Schema<Omit<ResolvedClass, 'askedBy' | 'line'>> = {
  name: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the class; unique.', example: 'quick-check' }),
  kind: oneOf(WORK_KINDS, { meaning: 'Kind of work: requests come by routes, the others by jobs.', example: 'request', defaultText: 'request' }),
  priority: integer({ meaning: 'Higher goes first.', example: '80', defaultText: '50', minimum: '0', maximum: '100' }),
  reserve: percentage({ meaning: 'Part of all slots kept for this class.', example: '10%', defaultText: '0%', minimum: '0%', maximum: '100%' }),
  most: percentage({ meaning: 'Most slots that the class may use, as a part of all.', example: '60%', defaultText: '100%', minimum: '1%', maximum: '100%' }),
  patience: duration({ meaning: 'How long work waits for room before it is refused.', example: '2s', defaultText: '2s', minimum: '0ms', maximum: '720h' }),
  bound: duration({ meaning: 'How long one run may take before it is cut off.', example: '30s', defaultText: '30s', minimum: '1ms', maximum: '720h' }),
  weight: decimal({ meaning: 'Share of the room among classes of the same priority.', example: '2', defaultText: '1', minimum: '0.1', maximum: '1000' }),
  ageing: duration({ meaning: 'Waiting time that raises the priority by one point; 0ms turns ageing off.', example: '500ms', defaultText: '1s', minimum: '0ms', maximum: '24h' }),
  expected: duration({ meaning: 'Run time assumed until run times have been learned; also tells when a silent connection is given up, see below.', example: '40ms', defaultText: '100ms', minimum: '1ms', maximum: '720h' }),
  retries: percentage({ meaning: 'Part of the requests of the class that may be repeated after a failure.', example: '10%', defaultText: '10%', minimum: '0%', maximum: '100%' }),
  preempts: oneOf(['nothing', 'throttle', 'checkpoint', 'stop'], { meaning: 'What lower work may suffer so that this class starts.', example: 'throttle', defaultText: 'nothing' })
}

/** Keys of a line under `routes`. */
export const ROUTE_SCHEMA: Schema<Omit<ResolvedRoute, 'askedBy' | 'line'>> = {
  path: text(PATH_PATTERN, PATH_DESCRIPTION, { meaning: 'Path pattern: `*` is one segment, `**` any number.', example: '/checks/*/final' }),
  method: text(METHOD_PATTERN, METHOD_DESCRIPTION, { meaning: 'Method in capitals; `*` is any.', example: 'POST', defaultText: '*' }),
  class: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Class of the requests that match.', example: 'quick-check' }),
  idempotent: flag({ meaning: 'Whether a request may be sent again after a failure; true without being written when `method` is GET, HEAD or OPTIONS.', example: 'true', defaultText: 'false' }),
  cores: decimal({ meaning: 'Processor cores that a request needs.', example: '0.5', defaultText: '0', minimum: '0', maximum: '1024' }),
  memory: memory({ meaning: 'Memory that a request needs.', example: '64MiB', defaultText: '0MiB', minimum: '0MiB', maximum: '16384GiB' }),
  accelerators: integer({ meaning: 'Accelerators that a request needs.', example: '1', defaultText: '0', minimum: '0', maximum: '64' })
}

/** Keys of a line under `teams`. */
export const TEAM_SCHEMA: Schema<Omit<ResolvedTeam, 'askedBy' | 'line'>> = {
  name: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the team; unique.', example: 'field-desk' }),
  most: percentage({ meaning: 'Most slots that the team may use at once, as a part of all.', example: '50%', defaultText: '100%', minimum: '1%', maximum: '100%' })
}

/** Keys under `limits`. */
export const LIMITS_SCHEMA: Schema<ResolvedLimits> = {
  header: size({ meaning: 'Most bytes of a request\'s header.', example: '16KiB', defaultText: '16KiB', minimum: '1KiB', maximum: '256KiB' }),
  body: size({ meaning: 'Most bytes of a request\'s body.', example: '64MiB', defaultText: '64MiB', minimum: '0B', maximum: '16GiB' }),
  callers: integer({ meaning: 'Most requests in flight at one node.', example: '4000', defaultText: '4000', minimum: '1', maximum: '100000' }),
  perCaller: integer({ meaning: 'Most requests in flight or waiting of one caller at one node.', example: '400', defaultText: '400', minimum: '1', maximum: '100000' }),
  headerTimeout: duration({ meaning: 'How long a caller may take to send its header.', example: '10s', defaultText: '10s', minimum: '100ms', maximum: '10m' }),
  idleTimeout: duration({ meaning: 'How long a body may go without a byte before it is given up.', example: '30s', defaultText: '30s', minimum: '100ms', maximum: '1h' })
}

/** Keys of a job file, but for `tasks`. */
export const JOB_SCHEMA: Schema<Omit<ResolvedJobFile, 'tasks'>> = {
  id: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the job; unique in the cell.', example: 'scene-4' }),
  kind: oneOf(['batch', 'gang', 'service'], { meaning: 'Kind of the job; a gang starts all its tasks at once, a service is kept running.', example: 'batch', defaultText: 'batch' }),
  class: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Class of the same kind in the rules in force.', example: 'audio-render' }),
  team: text(TEAM_PATTERN, TEAM_DESCRIPTION, { meaning: 'Team whose quota applies; "" is none.', example: 'audio-studio', defaultText: '' })
}

/** Keys of an entry of `tasks`. */
export const TASK_SCHEMA: Schema<ResolvedTaskGroup> = {
  command: text(COMMAND_PATTERN, COMMAND_DESCRIPTION, { meaning: 'What the worker runs.', example: 'render scene-4' }),
  count: integer({ meaning: 'How many such tasks the job has.', example: '3', defaultText: '1', minimum: '1', maximum: '1000' }),
  cores: decimal({ meaning: 'Processor cores that one task needs.', example: '2', defaultText: '1', minimum: '0', maximum: '1024' }),
  memory: memory({ meaning: 'Memory that one task needs.', example: '2GiB', defaultText: '256MiB', minimum: '0MiB', maximum: '16384GiB' }),
  accelerators: integer({ meaning: 'Accelerators that one task needs.', example: '1', defaultText: '0', minimum: '0', maximum: '64' }),
  expected: duration({ meaning: 'How long a task is expected to run.', example: '10m', defaultText: '1m', minimum: '1ms', maximum: '720h' })
}

/** Keys of a settings file. */
export const SETTINGS_SCHEMA: Schema<ResolvedSettings> = {
  id: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the node; unique in the cell.', example: 'node-1' }),
  cell: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Name of the cell that the node belongs to.', example: 'winter' }),
  dataCentre: text(NAME_PATTERN, NAME_DESCRIPTION, { meaning: 'Data centre that the node runs in.', example: 'jm-south-1' }),
  front: address({ meaning: 'Where callers\' HTTP is served; port 0 lets the system choose.', example: '127.0.0.1:8080', anyPort: true }),
  peer: address({ meaning: 'Where other nodes reach this one; port 0 lets the system choose.', example: '127.0.0.1:7071', anyPort: true }),
  control: address({ meaning: 'Where operators\' HTTP, readiness, liveness and metrics are served; port 0 lets the system choose.', example: '127.0.0.1:7070', anyPort: true }),
  platform: address({ meaning: 'Where the platform service is reached.', example: '127.0.0.1:7900' }),
  seeds: addresses({ meaning: 'Peer addresses asked for the assignment and the rules when the table is down.', example: '[127.0.0.1:7171, 127.0.0.1:7271]' }),
  secret: text(/^[\x21-\x7e]{16,256}$/, '16 to 256 printable characters without blanks', { meaning: 'Shared secret of nodes and operators; may come from the environment variable `RATTANSTEP_SECRET` instead.', example: 'change-me-before-winter' }),
  log: oneOf(['debug', 'info', 'warn', 'error'], { meaning: 'Least severity logged.', example: 'info', defaultText: 'info' }),
  drain: duration({ meaning: 'How long a planned stop waits for requests in flight.', example: '30s', defaultText: '30s', minimum: '0ms', maximum: '1h' })
}
