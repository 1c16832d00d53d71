/** Version of the file format that this code writes and reads. */
export const FORMAT_VERSION = 1

/** First bytes of a segment of the log. */
export const SEGMENT_MAGIC = 'sfrs-log'

/** First bytes of a snapshot. */
export const SNAPSHOT_MAGIC = 'sfrssnap'

/** Bytes of a file's header: magic, version, checksum of both. */
export const FILE_HEADER_BYTES = 16

/** Bytes of a record's header: length of the body, checksum, batch. */
export const RECORD_HEADER_BYTES = 12

/** Longest body that a record may have, in bytes. */
export const MAX_RECORD_BODY_BYTES = 1024 * 1024 * 1024

/** File that tells up to where the log was synced when it was last written. */
export const SYNCED_LENGTH_FILE = 'synced'

/** Ending of files that are not in force yet. */
export const TEMPORARY_SUFFIX = '.tmp'

/** Bytes of a snapshot that are written and synced at once. */
export const SNAPSHOT_PART_BYTES = 256 * 1024
