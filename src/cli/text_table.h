#ifndef MEADOWTHREAD_CLI_TEXT_TABLE_H_
#define MEADOWTHREAD_CLI_TEXT_TABLE_H_

#include <string>
#include <vector>

namespace meadowthread {

/// @brief A plain-text table whose columns are as wide as their widest cell.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> head);

  /// @brief Adds a row, padded or cut to the number of header cells.
  void Add(std::vector<std::string> cells);

  /// @brief The whole table with one line per row.
  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows;
};

}  // namespace meadowthread

#endif  // MEADOWTHREAD_CLI_TEXT_TABLE_H_
