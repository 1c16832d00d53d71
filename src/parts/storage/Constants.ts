/** Version of the file format that this code writes and reads. */
export const FORMAT_VERSION = 1

/** First bytes of a log segment. */
export const SEGMENT_MAGIC = 'sfrs-log'

/** First bytes of a snapshot file. */
export const SNAPSHOT_MAGIC = 'sfrssnap'

/** Bytes of a file's header: magic, format version, checksum of both. */
export const FILE_HEADER_BYTES = 16

/** Bytes of a record's header: length of the body, checksum, batch number. */
export const RECORD_HEADER_BYTES = 12

/** Bytes of the longest body that a record may have. */
export const MAX_RECORD_BODY_BYTES = 1024 * 1024 * 1024

/** File that holds the length up to which the log was synced after the last write. */
export const SYNCED_LENGTH_FILE = 'synced'

/** Ending of temporary files, which are renamed when they are complete. */
export const TEMPORARY_SUFFIX = '.tmp'

/** Most bytes of a snapshot's state in one record. */
export const SNAPSHOT_PART_BYTES = 256 * 1024
